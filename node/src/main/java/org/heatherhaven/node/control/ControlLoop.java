package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.logic.node.NodeReducer;
import org.heatherhaven.core.logic.node.NodeState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Owns the state of a node and runs the reducer: on a thread of its own, or, where a machine runs one thread at a time
 * and a switch costs more than a step, on the traffic threads, one of them at a time.
 */
public final class ControlLoop implements Runnable {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlLoop.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    private final Mailbox<Event> mailbox;
    private final SteadyClock clock;
    private final EffectRunner effectRunner;
    private volatile NodeState state;
    private final AtomicBoolean processing = new AtomicBoolean();
    private volatile boolean stopped;
    private Instant nextTick;

    /**
     * Creates a loop that has not started.
     *
     * @param start state to start from
     * @param mailbox where events come from
     * @param clock source of the time of each step
     * @param runner carries out the effects
     */
    public ControlLoop(NodeState start, Mailbox<Event> mailbox, SteadyClock clock, EffectRunner runner) {
        this.state = start;
        this.mailbox = mailbox;
        this.clock = clock;
        this.effectRunner = runner;
        this.nextTick = clock.instant();
    }

    @Override
    public void run() {
        while (!stopped) {
            Duration patience = Duration.between(clock.instant(), nextTick);
            Optional<Event> event =
                    patience.isNegative() || patience.isZero() ? mailbox.poll() : mailbox.poll(patience);
            if (!clock.instant().isBefore(nextTick)) {
                handle(new ControlEvent.Tick());
                nextTick = clock.instant().plus(TICK_INTERVAL);
            }
            event.ifPresent(this::handle);
        }
    }

    /**
     * Runs on threads that add events from now on, instead of on one of its own.
     *
     * @param timer calls for the ticks
     */
    public void runOnSenderThreads(ScheduledExecutorService timer) {
        mailbox.processOnSenderThreads(this::processMailbox);
        timer.scheduleWithFixedDelay(
                () -> mailbox.put(new ControlEvent.Tick()), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Works off the mailbox, unless another thread is at it; that one then sees what was added meanwhile. */
    private void processMailbox() {
        while (!stopped && mailbox.size() > 0 && processing.compareAndSet(false, true)) {
            try {
                Optional<Event> event = mailbox.poll();
                while (event.isPresent()) {
                    handle(event.get());
                    event = mailbox.poll();
                }
            } finally {
                processing.set(false);
            }
        }
    }

    private void handle(Event event) {
        Duration skipped = clock.takeWallClockJump();
        if (!skipped.isZero()) {
            LOGGER.warn("The time of day went ahead by {} ms", skipped.toMillis());
            reduce(new ControlEvent.ClockJumped(skipped));
        }
        reduce(event);
    }

    private void reduce(Event event) {
        try {
            NodeReducer.Result result = NodeReducer.reduce(state, event, clock.instant());
            state = result.state();
            for (Effect effect : result.effects()) {
                effectRunner.run(effect);
            }
        } catch (RuntimeException e) {
            // One event that can't be worked on must not stop the node; the state stays as it was.
            LOGGER.error("Event {} failed", event.getClass().getSimpleName(), e);
        }
    }

    /**
     * The state after the latest step.
     *
     * @return an immutable state, from any thread
     */
    public NodeState state() {
        return state;
    }

    /** Ends the loop after the present step. */
    public void stop() {
        stopped = true;
    }
}
