import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's store of objects, as far as a node uses it; linearizable, and it loses nothing. */
final class Store {

    /** Host of all routes. */
    static final String HOST = "calls.example";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OBJECTS = "/objects/";
    private static final int PAGE = 500;

    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private long revision = 1;

    Store(int port) throws IOException {
        new Server(port, this::handle);
    }

    /**
     * A route.
     *
     * @param prefix path prefix
     * @param service service that runs its requests
     * @param timeoutMs longest time that a request is kept waiting
     */
    record Route(String prefix, String service, long timeoutMs) {}

    /** A tenant. */
    record Tenant(String name, List<String> keys, double ratePerSecond, double burst) {}

    /** Writes the configuration as the operator does; returns when it is acknowledged, in milliseconds of the case. */
    long configure(int version, List<Route> routes, List<Tenant> tenants) {
        ObjectNode spec = JSON.createObjectNode().put("version", "r" + version);
        ObjectNode routeTable = spec.putObject("routes");
        ObjectNode services = spec.putObject("services");
        for (Route route : routes) {
            routeTable
                    .putObject("r" + route.prefix().replace("/", "-"))
                    .put("hostname", HOST)
                    .put("path-prefix", route.prefix())
                    .put("kind", "safe")
                    .put("timeout-ms", route.timeoutMs())
                    .put(Names.of("field.objective"), 1_000)
                    .put("priority", 1)
                    .put("service", route.service())
                    .put("max-attempts", 2)
                    .put("public", false);
            services.putObject(route.service())
                    .put("health-check-path", "/healthz")
                    .put("max-connections", 448)
                    .put("protocol", "h1")
                    .put("tls", false);
        }
        spec.putObject("limits")
                .put("max-header-bytes", 16_384)
                .put("max-body-bytes", 67_108_864)
                .put("header-timeout-ms", 3_000)
                .put("idle-timeout-ms", 15_000);
        ObjectNode tenantTable = spec.putObject("tenants");
        for (Tenant tenant : tenants) {
            ObjectNode entry = tenantTable
                    .putObject(tenant.name())
                    .put("priority", 1)
                    .put("rate-per-s", tenant.ratePerSecond())
                    .put("burst", tenant.burst());
            tenant.keys().forEach(entry.putArray("api-keys")::add);
        }
        synchronized (this) {
            put("config/main", spec);
        }
        Kit.note("operator: configuration r" + version + " of " + spec.toString().length() + " bytes acknowledged");
        return Kit.now();
    }

    /** Returns the names of the objects whose kind contains a text. */
    synchronized List<String> names(String kindPart) {
        return objects.keySet().stream().filter(key -> key.split("/")[0].contains(kindPart)).toList();
    }

    private ObjectNode put(String key, JsonNode spec) {
        ObjectNode object = JSON.createObjectNode();
        object.putObject("metadata")
                .put("name", key.substring(key.indexOf('/') + 1))
                .put("revision", ++revision)
                .put("deleting", false)
                .putArray("finalizers");
        object.set("spec", spec);
        objects.put(key, object);
        return object;
    }

    private synchronized Server.Reply handle(Http.Message request) throws IOException {
        String[] target = request.word(1).split("\\?", 2);
        String path = target[0].substring(OBJECTS.length());
        String query = target.length > 1 ? "&" + target[1] : "";
        return switch (request.word(0)) {
            case "GET" -> path.contains("/") ? one(path) : list(path, parameter(query, "after"));
            case "POST" -> {
                JsonNode body = JSON.readTree(request.body());
                String key = path + "/" + body.path("metadata").path("name").asText();
                yield objects.containsKey(key)
                        ? reply(409, objects.get(key))
                        : reply(201, put(key, body.path("spec")));
            }
            case "PUT" -> {
                JsonNode body = JSON.readTree(request.body());
                JsonNode expected = body.path("metadata").path("revision");
                yield !objects.containsKey(path) || conflicts(path, expected.asText())
                        ? mismatch(path)
                        : reply(200, put(path, body.path("spec")));
            }
            case "DELETE" -> {
                if (!objects.containsKey(path) || conflicts(path, parameter(query, "revision"))) {
                    yield mismatch(path);
                }
                Kit.note("store: deleted " + path);
                revision++;
                yield reply(200, objects.remove(path));
            }
            default -> reply(404, JSON.createObjectNode());
        };
    }

    private boolean conflicts(String key, String expected) {
        return !expected.isEmpty()
                && !expected.equals(
                        objects.get(key).path("metadata").path("revision").asText());
    }

    private Server.Reply mismatch(String key) throws IOException {
        return objects.containsKey(key) ? reply(409, objects.get(key)) : reply(404, JSON.createObjectNode());
    }

    private Server.Reply one(String key) throws IOException {
        return objects.containsKey(key) ? reply(200, objects.get(key)) : reply(404, JSON.createObjectNode());
    }

    private Server.Reply list(String kind, String after) throws IOException {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        objects.tailMap(kind + "/" + after, false).entrySet().stream()
                .takeWhile(entry -> entry.getKey().startsWith(kind + "/"))
                .limit(PAGE)
                .forEach(entry -> items.add(entry.getValue()));
        page.put("more", false).put("current-rev", revision);
        return reply(200, page);
    }

    private static String parameter(String query, String name) {
        int at = query.indexOf("&" + name + "=");
        return at < 0 ? "" : query.substring(at + name.length() + 2).split("&")[0];
    }

    private static Server.Reply reply(int status, JsonNode body) throws IOException {
        return new Server.Reply(status, Map.of("Content-Type", "application/json"), JSON.writeValueAsBytes(body));
    }
}
