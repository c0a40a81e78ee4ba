package org.heatherhaven.node.http;

/** What the head of a target's answer means. */
public enum ResponseVerdict {
    /** The target's answer to this call. */
    VALID,
    /** An answer to another call, which came too late to be expected. */
    OTHER_CALL,
    /** The target is overloaded, and did not say whether it ran the call. */
    OVERLOADED,
    /** The target proves that it did not run the call. */
    NOT_RUN,
    /** Another process has the target's address and did not run the call. */
    REPLACED,
    /** No answer that could be passed on. */
    INVALID
}
