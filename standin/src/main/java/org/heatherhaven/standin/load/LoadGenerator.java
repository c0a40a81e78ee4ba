package org.heatherhaven.standin.load;

import java.io.IOException;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.fleet.FleetPolicy;
import org.heatherhaven.standin.fleet.Flow;

/**
 * Sends the root requests of a deployment's teams as a Poisson process and retries failed ones.
 *
 * <p>Each request starts at its planned time, whether or not earlier ones have been answered, and latency counts from
 * that time.
 */
public final class LoadGenerator implements AutoCloseable {

    private static final int THREADS = 2;
    private static final int MAX_CONNECTIONS = 8_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int OK = 200;

    private final Deployment deployment;
    private final CallerBehavior behavior;
    private final RequestStatistics statistics;
    private final IntFunction<String> entryUrlForTeam;
    private final SplittableRandom random;
    private final AtomicLong nextId = new AtomicLong();
    private final EventLoopGroup group = new NioEventLoopGroup(THREADS, new DefaultThreadFactory("callers", true));
    private final AsyncHttpClient client;
    private final long startNanos = System.nanoTime();

    /**
     * Creates a load generator that sends no requests until {@link #run}.
     *
     * @param deployment deployment whose flows are sent
     * @param behavior timeouts and retries of the callers
     * @param statistics records offered requests, successes and refusals
     * @param entryUrlForTeam returns the base URL of the node for the next attempt of a team, by index of the team
     * @param seed seed of the random times, teams and flows
     */
    public LoadGenerator(
            Deployment deployment,
            CallerBehavior behavior,
            RequestStatistics statistics,
            IntFunction<String> entryUrlForTeam,
            long seed) {
        this.deployment = deployment;
        this.behavior = behavior;
        this.statistics = statistics;
        this.entryUrlForTeam = entryUrlForTeam;
        this.random = new SplittableRandom(seed);
        this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxConnections(MAX_CONNECTIONS)
                .setMaxRequestRetry(0)
                .setKeepAlive(true)
                .build());
    }

    private record Request(int team, Flow flow, String key, String id, long intendedStartNanos, int attempt) {

        Request nextAttempt() {
            return new Request(team, flow, key, id, intendedStartNanos, attempt + 1);
        }
    }

    /**
     * Returns the time since this load generator was created.
     *
     * @return milliseconds
     */
    public long elapsedMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /**
     * Sends requests for a period and returns after the last one has been sent.
     *
     * @param duration length of the period
     * @param rateOfTeam root requests per second, by index of the team
     */
    public void run(Duration duration, IntToDoubleFunction rateOfTeam) {
        long now = System.nanoTime();
        long end = now + duration.toNanos();
        double[] rates = new double[Deployment.TEAM_FRACTIONS.size()];
        double total = 0;
        for (int team = 0; team < rates.length; team++) {
            rates[team] = rateOfTeam.applyAsDouble(team);
            total += rates[team];
        }
        long next = now;
        while (next < end) {
            next += (long) (-Math.log(1 - random.nextDouble()) / total * NANOS_PER_SECOND);
            sleepUntil(next);
            int team = pickTeam(rates, total);
            startRequest(team, next);
        }
    }

    private static void sleepUntil(long nanos) {
        long remaining = nanos - System.nanoTime();
        if (remaining > 0) {
            LockSupport.parkNanos(remaining);
        }
    }

    private int pickTeam(double[] rates, double total) {
        double point = random.nextDouble() * total;
        for (int team = 0; team < rates.length; team++) {
            point -= rates[team];
            if (point < 0) {
                return team;
            }
        }
        return rates.length - 1;
    }

    private void startRequest(int team, long intendedNanos) {
        double point = random.nextDouble();
        Flow chosen = deployment.flows().get(deployment.flows().size() - 1);
        for (Flow flow : deployment.flows()) {
            point -= flow.fraction();
            if (point < 0) {
                chosen = flow;
                break;
            }
        }
        String id = "r" + nextId.incrementAndGet();
        Request request = new Request(team, chosen, FleetPolicy.teamKey(team), id, intendedNanos, 0);
        statistics.recordOffered(FleetPolicy.teamName(team), chosen.name(), toRunMillis(intendedNanos));
        afterNetworkDelay(() -> send(request));
    }

    /** Runs an action after the one-way network delay. */
    private void afterNetworkDelay(Runnable action) {
        group.schedule(action, behavior.networkDelay().toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Converts a system time in nanoseconds to milliseconds since this load generator was created. */
    private long toRunMillis(long nanos) {
        return (nanos - startNanos) / 1_000_000;
    }

    private void send(Request request) {
        String url = entryUrlForTeam.apply(request.team()) + request.flow().path() + "?id=" + request.id();
        BoundRequestBuilder builder = request.flow().unrepeatable()
                ? client.preparePost(url).addHeader("Idempotency-Key", request.id())
                : client.prepareGet(url);
        builder.addHeader("Authorization", "Bearer " + request.key())
                .addHeader(
                        "Request-Timeout-Ms",
                        Long.toString(behavior.attemptTimeout().toMillis()))
                .setRequestTimeout(behavior.attemptTimeout().plusMillis(100))
                .setReadTimeout(behavior.attemptTimeout().plusMillis(100))
                .execute()
                .toCompletableFuture()
                .whenComplete(
                        (response, failure) -> afterNetworkDelay(() -> handleResponse(request, response, failure)));
    }

    private void handleResponse(Request request, Response response, Throwable failure) {
        long latencyNanos = System.nanoTime() - request.intendedStartNanos();
        boolean success = failure == null && response.getStatusCode() == OK && matchesRequest(request, response);
        if (success) {
            if (latencyNanos <= behavior.totalTimeout().toNanos()) {
                statistics.recordSuccess(
                        FleetPolicy.teamName(request.team()),
                        request.flow().name(),
                        toRunMillis(request.intendedStartNanos()),
                        latencyNanos / 1_000);
            }
            return;
        }
        statistics.recordRefusal(request.flow().name() + " "
                + (failure != null ? failure.getClass().getSimpleName() : refusalReason(response)));
        boolean retry = request.attempt() < behavior.retries()
                && latencyNanos < behavior.totalTimeout().toNanos();
        if (retry) {
            group.schedule(
                    () -> send(request.nextAttempt()), behavior.retryDelay().toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Returns true if the response was written for this request by the service of its flow. */
    private static boolean matchesRequest(Request request, Response response) {
        return response.getResponseBody().startsWith(request.flow().service() + ":" + request.id() + ":");
    }

    /** Returns the reason in a problem response, or the status if there is none. */
    private static String refusalReason(Response response) {
        String body = response.getResponseBody();
        int at = body.indexOf("\"reason\":\"");
        if (at < 0) {
            return "status " + response.getStatusCode();
        }
        int from = at + "\"reason\":\"".length();
        return body.substring(from, body.indexOf('"', from));
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
