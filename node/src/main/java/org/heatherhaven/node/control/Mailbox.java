package org.heatherhaven.node.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Hands events from many traffic threads to the one control thread.
 *
 * <p>New work is refused when the mailbox is full; the end of work is always taken, because losing it would leak a
 * slot. Order is kept for each sender.
 *
 * @param <E> type of the events
 */
public final class Mailbox<E> {

    private final int capacity;
    private final ConcurrentLinkedQueue<E> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private volatile Thread waitingThread;
    private volatile Runnable onAdded = () -> {};

    /**
     * Creates an empty mailbox.
     *
     * @param capacity number of events at which new work is refused
     */
    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Lets whoever adds an event work it off, instead of a thread that waits for it.
     *
     * @param next works off the mailbox, or does nothing if another thread is at it
     */
    public void processOnSenderThreads(Runnable next) {
        onAdded = next;
    }

    /**
     * Adds an event that brings new work.
     *
     * @param event the event
     * @return false if the mailbox is full and the event was not taken
     */
    public boolean offer(E event) {
        if (size.incrementAndGet() > capacity) {
            size.decrementAndGet();
            return false;
        }
        queue.add(event);
        signalAdded();
        return true;
    }

    /**
     * Adds an event that must not be lost.
     *
     * @param event the event
     */
    public void put(E event) {
        size.incrementAndGet();
        queue.add(event);
        signalAdded();
    }

    /**
     * Takes the oldest event, for the control thread only.
     *
     * @return the event, or nothing if the mailbox is empty
     */
    public Optional<E> poll() {
        E event = queue.poll();
        if (event != null) {
            size.decrementAndGet();
        }
        return Optional.ofNullable(event);
    }

    /**
     * Takes the oldest event, waiting for one if need be, for the control thread only.
     *
     * @param patience how long to wait
     * @return the event, or nothing if none came
     */
    public Optional<E> poll(Duration patience) {
        Optional<E> event = poll();
        if (event.isPresent()) {
            return event;
        }
        waitingThread = Thread.currentThread();
        // A sender that adds between this look and the sleep sees the sleeper, and its permit ends the sleep at once.
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, patience.toNanos());
        }
        waitingThread = null;
        return poll();
    }

    /**
     * Number of events waiting.
     *
     * @return events
     */
    public int size() {
        return size.get();
    }

    private void signalAdded() {
        Thread waiting = waitingThread;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
        onAdded.run();
    }
}
