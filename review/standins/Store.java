package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in for the platform's store: objects by kind and name, with revisions; without watches. */
public final class Store {

    private static final ObjectMapper JSON = new ObjectMapper();
    private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();
    private final HttpServer server;
    private long revision = 100;

    public Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object as the operator does. */
    public synchronized void operatorWrites(String kind, String name, String spec) throws IOException {
        put(kind, name, JSON.readTree(spec));
    }

    private ObjectNode put(String kind, String name, JsonNode spec) {
        ObjectNode old = kinds.computeIfAbsent(kind, any -> new TreeMap<>()).get(name);
        revision++;
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("created", old == null ? revision : old.path("metadata").path("created").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        kinds.get(kind).put(name, object);
        return object;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String[] parts = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/", 2);
        String query = exchange.getRequestURI().getQuery() == null ? "" : exchange.getRequestURI().getQuery();
        int[] status = {200};
        JsonNode answer;
        synchronized (this) {
            answer = answer(exchange.getRequestMethod(), parts, query, body, status);
        }
        byte[] bytes = answer == null ? new byte[0] : JSON.writeValueAsBytes(answer);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status[0], bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private JsonNode answer(String method, String[] parts, String query, byte[] body, int[] status)
            throws IOException {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(parts[0], any -> new TreeMap<>());
        if (method.equals("GET") && parts.length == 1) {
            ObjectNode list = JSON.createObjectNode();
            var items = list.putArray("items");
            String after = value(query, "after");
            (after == null ? objects : objects.tailMap(after, false)).values().forEach(items::add);
            list.put("more", false);
            list.put("current-rev", revision);
            return list;
        }
        if (method.equals("POST")) {
            JsonNode sent = JSON.readTree(body);
            String name = sent.path("metadata").path("name").asText();
            if (objects.containsKey(name)) {
                status[0] = 409;
                return objects.get(name);
            }
            status[0] = 201;
            return put(parts[0], name, sent.path("spec"));
        }
        ObjectNode old = objects.get(parts[1]);
        if (old == null) {
            status[0] = 404;
            return null;
        }
        if (method.equals("GET")) {
            return old;
        }
        String expected = value(query, "revision");
        if (method.equals("PUT")) {
            JsonNode named = JSON.readTree(body).path("metadata").path("revision");
            expected = named.isNumber() ? named.asText() : expected;
        }
        if (expected != null && !expected.equals(old.path("metadata").path("revision").asText())) {
            status[0] = 409;
            return old;
        }
        if (method.equals("PUT")) {
            JsonNode spec = JSON.readTree(body).path("spec");
            return spec.equals(old.path("spec")) ? old : put(parts[0], parts[1], spec);
        }
        objects.remove(parts[1]);
        revision++;
        return old;
    }

    private static String value(String query, String name) {
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }
}
