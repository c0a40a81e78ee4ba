package org.heatherhaven.node;

import io.netty.util.concurrent.EventExecutor;

/** Helper to run actions on event loops. */
public final class EventLoops {

    private EventLoops() {}

    /**
     * Runs an action on an event loop: at once if the caller runs on that loop, otherwise as a task queued there.
     *
     * @param loop the event loop, usually of a connection
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
