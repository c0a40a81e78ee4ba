package org.heatherhaven.core.logic;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/** Stable hashes that are the same on all nodes. */
public final class Hashes {

    /** Number of bits that a double represents exactly. */
    private static final int DOUBLE_BITS = 53;

    private Hashes() {}

    /**
     * Hashes a text to 64 bits.
     *
     * @param text the text
     * @return the first half of its 128-bit MurmurHash3
     */
    public static long of(String text) {
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Hashes a text to one of several buckets.
     *
     * @param text the text
     * @param buckets number of buckets
     * @return index of the bucket, from 0 to below the number of buckets
     */
    public static int bucket(String text, int buckets) {
        return (int) Long.remainderUnsigned(of(text), buckets);
    }

    /**
     * Hashes a text to a fraction, spread evenly over different texts.
     *
     * @param text the text
     * @return a number from 0 to below 1
     */
    public static double unitFraction(String text) {
        return (of(text) >>> (Long.SIZE - DOUBLE_BITS)) * 0x1.0p-53;
    }
}
