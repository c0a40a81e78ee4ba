package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.logic.node.NodeReducer;
import org.heatherhaven.core.logic.node.NodeState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns the state of a node and runs the reducer on one thread. */
public final class ControlLoop implements Runnable {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlLoop.class);
    private static final Duration TICK = Duration.ofMillis(25);

    private final Mailbox<Event> mailbox;
    private final SteadyClock clock;
    private final EffectRunner runner;
    private volatile NodeState state;
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
        this.runner = runner;
        this.nextTick = clock.instant();
    }

    @Override
    public void run() {
        while (!stopped) {
            Duration patience = Duration.between(clock.instant(), nextTick);
            Optional<Event> event =
                    patience.isNegative() || patience.isZero() ? mailbox.poll() : mailbox.poll(patience);
            if (!clock.instant().isBefore(nextTick)) {
                step(new ControlEvent.Tick());
                nextTick = clock.instant().plus(TICK);
            }
            event.ifPresent(this::step);
        }
    }

    private void step(Event event) {
        Duration skipped = clock.skipped();
        if (!skipped.isZero()) {
            LOGGER.warn("The time of day went ahead by {} ms", skipped.toMillis());
            reduce(new ControlEvent.TimeSkipped(skipped));
        }
        reduce(event);
    }

    private void reduce(Event event) {
        try {
            NodeReducer.Result result = NodeReducer.reduce(state, event, clock.instant());
            state = result.state();
            for (Effect effect : result.effects()) {
                runner.run(effect);
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
