package org.heatherhaven.core.logic;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/** Stable hashes, equal on every node. */
public final class Hashes {

    private static final int DOUBLE_BITS = 53;

    private Hashes() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return 64 well mixed bits
     */
    public static long of(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Hashes a text into one of several buckets.
     *
     * @param text the text
     * @param buckets number of buckets
     * @return a bucket from 0
     */
    public static int bucket(String text, int buckets) {
        return (int) Long.remainderUnsigned(of(text), buckets);
    }

    /**
     * Hashes a text to a point.
     *
     * @param text the text
     * @return a number from 0 to below 1
     */
    public static double unitFraction(String text) {
        return (of(text) >>> (Long.SIZE - DOUBLE_BITS)) * 0x1.0p-53;
    }
}
