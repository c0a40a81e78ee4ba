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
 * Owns the state of a node and runs the reducer on its events, one at a time.
 *
 * <p>It runs either on its own thread ({@link #run}) or on the traffic threads that post the events
 * ({@link #runOnSenderThreads}). The latter is for machines that run a single thread at a time, where a thread switch
 * costs more than processing an event.
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
     * @param start initial state
     * @param mailbox source of the events
     * @param clock gives the time at which each event is processed
     * @param effectRunner carries out the effects
     */
    public ControlLoop(NodeState start, Mailbox<Event> mailbox, SteadyClock clock, EffectRunner effectRunner) {
        this.state = start;
        this.mailbox = mailbox;
        this.clock = clock;
        this.effectRunner = effectRunner;
        this.nextTick = clock.instant();
    }

    @Override
    public void run() {
        while (!stopped) {
            Duration untilTick = Duration.between(clock.instant(), nextTick);
            Optional<Event> event =
                    untilTick.isNegative() || untilTick.isZero() ? mailbox.poll() : mailbox.poll(untilTick);
            if (!clock.instant().isBefore(nextTick)) {
                handle(new ControlEvent.Tick());
                nextTick = clock.instant().plus(TICK_INTERVAL);
            }
            event.ifPresent(this::handle);
        }
    }

    /**
     * Processes events on the threads that post them from now on, instead of on a thread that calls {@link #run}.
     *
     * @param timer posts the periodic ticks
     */
    public void runOnSenderThreads(ScheduledExecutorService timer) {
        mailbox.processOnSenderThreads(this::processMailbox);
        timer.scheduleWithFixedDelay(
                () -> mailbox.put(new ControlEvent.Tick()), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Processes all events of the mailbox, unless another thread is doing so. The mailbox is checked again after
     * {@code processing} is cleared, so that an event added just before is not left behind.
     */
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
        Duration jump = clock.takeWallClockJump();
        if (!jump.isZero()) {
            LOGGER.warn("The wall clock jumped ahead of the monotonic clock by {} ms", jump.toMillis());
            reduce(new ControlEvent.ClockJumped(jump));
        }
        reduce(event);
    }

    private void reduce(Event event) {
        try {
            NodeReducer.Result result = NodeReducer.reduce(state, event, clock.instant());
            state = result.state();
            result.effects().forEach(this::run);
        } catch (RuntimeException | StackOverflowError e) {
            // A failed event must not stop the node; if the reducer failed, the state before the event stays in use.
            LOGGER.error("Event {} failed", event.getClass().getSimpleName(), e);
        }
    }

    private void run(Effect effect) {
        try {
            effectRunner.run(effect);
        } catch (RuntimeException | StackOverflowError e) {
            // The other effects of the event may belong to other calls.
            LOGGER.error("Effect {} failed", effect.getClass().getSimpleName(), e);
        }
    }

    /**
     * Returns the state after the latest event; safe to call from any thread.
     *
     * @return the state, immutable
     */
    public NodeState state() {
        return state;
    }

    /** Stops processing after the current event. */
    public void stop() {
        stopped = true;
    }
}
