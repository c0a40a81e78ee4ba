package org.heatherhaven.node.http;

/** Classification of the head of a target's response. */
public enum ResponseVerdict {
    /** The target's response to this call. */
    VALID,
    /** The response to another call, which arrived after that call was given up. */
    OTHER_CALL,
    /** The target is overloaded; it is unknown whether it ran the call. */
    OVERLOADED,
    /** The response proves that the target did not run the call. */
    NOT_RUN,
    /** Another process now has the target's address; it did not run the call. */
    REPLACED,
    /** The response is not valid, or nothing shows to which call it belongs; it can't be forwarded to the caller. */
    INVALID
}
