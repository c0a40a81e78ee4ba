package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: objects by kind and name, with one revision counter. It can be away, and come back from a copy;
 * then revisions go back and the era in the answers' header rises by one.
 */
final class Store {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Record record;
    private final HttpServer server;
    private TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private long revision = 100;
    private long era = 1;
    private boolean away;

    /** The state of the store at one moment. */
    record Copy(TreeMap<String, ObjectNode> objects, long revision) {}

    Store(Record record, String ip) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    synchronized Copy copy() {
        TreeMap<String, ObjectNode> copied = new TreeMap<>();
        objects.forEach((key, object) -> copied.put(key, object.deepCopy()));
        return new Copy(copied, revision);
    }

    synchronized void goAway() {
        away = true;
        record.add("store: away (503 to all)");
    }

    synchronized void comeBack(Copy copy) {
        objects = new Store.Copy(copy.objects(), copy.revision()).objects();
        revision = copy.revision();
        era++;
        away = false;
        record.add("store: back from a copy, revision %d, era %d", revision, era);
    }

    /** Writes an object as the operator does; returns the time of the acknowledgement. */
    synchronized long write(String kind, String name, String spec) throws IOException {
        ObjectNode object = objects.computeIfAbsent(kind + "/" + name, key -> newObject(name));
        object.set("spec", JSON.readTree(spec));
        touch(object);
        record.add("store: operator wrote %s/%s at revision %d", kind, name, revision);
        return record.now();
    }

    private static ObjectNode newObject(String name) {
        ObjectNode object = JSON.createObjectNode();
        object.putObject("metadata").put("name", name).put("deleting", false).putArray("finalizers");
        object.putNull("spec");
        object.putNull("status");
        return object;
    }

    private void touch(ObjectNode object) {
        revision++;
        ObjectNode metadata = (ObjectNode) object.get("metadata");
        metadata.put("revision", revision);
        if (!metadata.has("created")) {
            metadata.put("created", revision);
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            int status;
            JsonNode answer;
            synchronized (this) {
                exchange.getResponseHeaders().set(Names.of("store-era"), Long.toString(era));
                if (away) {
                    exchange.sendResponseHeaders(503, -1);
                    return;
                }
                ObjectNode result = JSON.createObjectNode();
                status = process(exchange, body, result);
                answer = result;
                if (!exchange.getRequestMethod().equals("GET")) {
                    record.add(
                            "store: %s %s -> %d", exchange.getRequestMethod(), exchange.getRequestURI(), status);
                }
            }
            byte[] bytes = answer.isEmpty() ? new byte[0] : JSON.writeValueAsBytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private int process(HttpExchange exchange, byte[] body, ObjectNode result) throws IOException {
        String[] parts =
                exchange.getRequestURI().getPath().substring("/objects/".length()).split("/", 2);
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        String method = exchange.getRequestMethod();
        if (parts.length == 1) {
            return method.equals("POST") ? create(parts[0], JSON.readTree(body), result) : list(parts[0], query, result);
        }
        String key = parts[0] + "/" + parts[1];
        ObjectNode object = objects.get(key);
        if (object == null) {
            return 404;
        }
        switch (method) {
            case "GET" -> result.setAll(object.deepCopy());
            case "PUT" -> {
                JsonNode sent = JSON.readTree(body);
                if (conflicts(object, sent.path("metadata").path("revision").asText(query.get("revision")))) {
                    result.setAll(object.deepCopy());
                    return 409;
                }
                if (!sent.path("spec").equals(object.get("spec"))) {
                    object.set("spec", sent.path("spec"));
                    touch(object);
                }
                result.setAll(object.deepCopy());
            }
            case "DELETE" -> {
                if (conflicts(object, query.get("revision"))) {
                    result.setAll(object.deepCopy());
                    return 409;
                }
                objects.remove(key);
                revision++;
            }
            default -> {
                return 405;
            }
        }
        return 200;
    }

    private static boolean conflicts(ObjectNode object, String expected) {
        return expected != null && !expected.isEmpty()
                && Long.parseLong(expected) != object.get("metadata").get("revision").asLong();
    }

    private int create(String kind, JsonNode sent, ObjectNode result) {
        String name = sent.path("metadata").path("name").asText();
        ObjectNode existing = objects.get(kind + "/" + name);
        if (existing != null) {
            result.setAll(existing.deepCopy());
            return 409;
        }
        ObjectNode object = newObject(name);
        object.set("spec", sent.path("spec"));
        touch(object);
        objects.put(kind + "/" + name, object);
        result.setAll(object.deepCopy());
        return 201;
    }

    private int list(String kind, Map<String, String> query, ObjectNode result) {
        ArrayNode items = result.putArray("items");
        String after = query.getOrDefault("after", "");
        objects.forEach((key, object) -> {
            String name = object.get("metadata").get("name").asText();
            if (key.startsWith(kind + "/") && name.compareTo(after) > 0) {
                items.add(object.deepCopy());
            }
        });
        result.put("more", false).put("current-rev", revision);
        return 200;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                String[] parts = pair.split("=", 2);
                values.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
        }
        return values;
    }
}
