package org.heatherhaven.standin.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.Histogram;

/** Records offered requests, successes, refusals and latencies, in bins of the intended start time. */
public final class RequestStatistics {

    /** Length of a bin in milliseconds. */
    public static final int BIN_MILLIS = 100;

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final int bins;
    private final Map<String, long[][]> counts = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> refusals = new ConcurrentHashMap<>();
    private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /**
     * Creates empty statistics.
     *
     * @param seconds length of the run; later requests count in the last bin
     */
    public RequestStatistics(int seconds) {
        this.bins = seconds * 1_000 / BIN_MILLIS + 1;
    }

    private long[][] countsOf(String team, String flow) {
        return counts.computeIfAbsent(team + "|" + flow, absentKey -> new long[2][bins]);
    }

    synchronized void recordOffered(String team, String flow, long atMillis) {
        countsOf(team, flow)[0][binIndex(atMillis)]++;
    }

    synchronized void recordSuccess(String team, String flow, long atMillis, long latencyMicros) {
        countsOf(team, flow)[1][binIndex(atMillis)]++;
        latency.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, latencyMicros)));
    }

    void recordRefusal(String reason) {
        refusals.computeIfAbsent(reason, absentKey -> new AtomicLong()).incrementAndGet();
    }

    private int binIndex(long atMillis) {
        return (int) Math.min(bins - 1, Math.max(0, atMillis / BIN_MILLIS));
    }

    /**
     * Returns the number of requests with an intended start in a period.
     *
     * @param offered true to count all requests, false to count those with a complete response in time
     * @param team name of the team, or an empty text for all
     * @param flow name of the flow, or an empty text for all
     * @param fromMillis start of the period, since the start of the run, rounded down to a bin
     * @param toMillis end of the period, exclusive, rounded down to a bin
     * @return number of requests
     */
    public synchronized long count(boolean offered, String team, String flow, long fromMillis, long toMillis) {
        long sum = 0;
        for (Map.Entry<String, long[][]> entry : counts.entrySet()) {
            String[] names = entry.getKey().split("\\|");
            boolean matches = (team.isEmpty() || names[0].equals(team)) && (flow.isEmpty() || names[1].equals(flow));
            for (int bin = binIndex(fromMillis); matches && bin < binIndex(toMillis); bin++) {
                sum += entry.getValue()[offered ? 0 : 1][bin];
            }
        }
        return sum;
    }

    /**
     * Returns the number of failed attempts by flow and reason.
     *
     * @return counts by {@code FLOW REASON}, sorted by key
     */
    public Map<String, Long> refusals() {
        Map<String, Long> sorted = new TreeMap<>();
        refusals.forEach((reason, count) -> sorted.put(reason, count.get()));
        return sorted;
    }

    /**
     * Returns a percentile of the latency of successful requests, measured from their intended start.
     *
     * @param percentile percentile, 0 to 100
     * @return latency in milliseconds
     */
    public synchronized double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1_000.0;
    }
}
