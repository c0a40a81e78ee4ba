package org.heatherhaven.node.peer;

/** Flow control of bodies between nodes. */
public final class FlowControl {

    /** Bytes of one body that may be under way without credit from the other side. */
    public static final int BODY_WINDOW_BYTES = 256 * 1024;

    private FlowControl() {}
}
