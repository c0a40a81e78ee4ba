package org.heatherhaven.node.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Queue of events from many sender threads to the single control thread.
 *
 * <p>Events that bring new work are refused when the mailbox is full. Events that end work are always accepted, because
 * a lost one would leave a slot of the target occupied. The order of events is kept for each sender.
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
     * @param capacity number of waiting events at which new work is refused
     */
    public Mailbox(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Makes the thread that adds an event process the mailbox, instead of a thread that waits for events.
     *
     * @param processor processes the waiting events; runs after each addition, on the adding thread, and must do
     *     nothing while another thread is processing them
     */
    public void processOnSenderThreads(Runnable processor) {
        onAdded = processor;
    }

    /**
     * Adds an event that brings new work.
     *
     * @param event the event
     * @return false if the mailbox is full and the event was not added
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
     * Adds an event that must not be lost, even if the mailbox is full.
     *
     * @param event the event
     */
    public void put(E event) {
        size.incrementAndGet();
        queue.add(event);
        signalAdded();
    }

    /**
     * Removes the oldest event; for the control thread only.
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
     * Removes the oldest event, waiting for one if the mailbox is empty; for the control thread only.
     *
     * @param timeout longest time to wait
     * @return the event, or nothing if none was added in time
     */
    public Optional<E> poll(Duration timeout) {
        Optional<E> event = poll();
        if (event.isPresent()) {
            return event;
        }
        waitingThread = Thread.currentThread();
        // A sender that adds an event between this check and the park sees waitingThread and unparks it, which makes
        // the park return at once.
        if (queue.isEmpty()) {
            LockSupport.parkNanos(this, timeout.toNanos());
        }
        waitingThread = null;
        return poll();
    }

    /**
     * Returns the number of waiting events.
     *
     * @return number of events
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
