package org.heatherhaven.node.peer;

/** Constants of the flow control of HTTP bodies between nodes. */
public final class FlowControl {

    /** Bytes of one body that a node may send before it has received credit from the other side. */
    public static final int BODY_WINDOW_BYTES = 256 * 1024;

    private FlowControl() {}
}
