package org.heatherhaven.cli.operator;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.heatherhaven.cli.ExitCode;

/** Options common to all operator commands, and the HTTP client for the operator listener of a node. */
public final class OperatorOptions {

    static final ObjectMapper JSON = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .enable(SerializationFeature.INDENT_OUTPUT);

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    @Parameter(names = "--operator", description = "A node's address for operators, a URL")
    private String nodeUrl = "http://127.0.0.1:7400";

    @Parameter(names = "--token-env", description = "Environment variable that holds the operators' token")
    private String tokenVariable = "HEATHERHAVEN_TOKEN";

    @Parameter(names = "--json", description = "Print JSON for machines")
    private boolean json;

    boolean json() {
        return json;
    }

    /** Sends a GET request and returns the JSON of the response. */
    JsonNode get(String path) {
        try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
            return send(client.prepareGet(nodeUrl + path));
        } catch (IOException e) {
            throw unreachable(e);
        }
    }

    /** Sends an object as JSON in a POST request and returns the JSON of the response. */
    JsonNode post(String path, Object body) {
        try (AsyncHttpClient client = Dsl.asyncHttpClient()) {
            return send(client.preparePost(nodeUrl + path).setBody(JSON.writeValueAsBytes(body)));
        } catch (IOException e) {
            throw unreachable(e);
        }
    }

    private JsonNode send(BoundRequestBuilder request) {
        String token = System.getenv(tokenVariable);
        if (token != null) {
            request.addHeader("Authorization", "Bearer " + token);
        }
        try {
            Response response = request.setRequestTimeout(REQUEST_TIMEOUT)
                    .setReadTimeout(REQUEST_TIMEOUT)
                    .execute()
                    .get();
            JsonNode body = JSON.readTree(response.getResponseBodyAsBytes());
            if (response.getStatusCode() >= 400) {
                throw new OperatorException(
                        ExitCode.REFUSED, body.path("detail").asText("refused"));
            }
            return body;
        } catch (ExecutionException e) {
            throw unreachable(e.getCause());
        } catch (IOException e) {
            throw new OperatorException(ExitCode.UNKNOWN, "the node's answer can't be read");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new OperatorException(ExitCode.UNKNOWN, "interrupted");
        }
    }

    private OperatorException unreachable(Throwable cause) {
        return new OperatorException(ExitCode.UNREACHABLE, nodeUrl + " can't be reached: " + cause.getMessage());
    }

    void printJson(Object body) {
        try {
            System.out.println(JSON.writeValueAsString(body));
        } catch (IOException e) {
            throw new IllegalStateException("can't write " + body.getClass(), e);
        }
    }
}
