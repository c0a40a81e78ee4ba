package org.heatherhaven.node;

import io.netty.util.concurrent.EventExecutor;

/** Work on the event loop that owns a connection. */
public final class EventLoops {

    private EventLoops() {}

    /**
     * Runs an action on an event loop: at once if the caller is on it, else as soon as the loop comes to it.
     *
     * @param loop the event loop
     * @param action the action
     */
    public static void run(EventExecutor loop, Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
        } else {
            loop.execute(action);
        }
    }
}
