package org.heatherhaven.node.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.heatherhaven.core.effect.Decision;

/** Bounded log of the latest decisions of a node; thread-safe. */
public final class DecisionLog {

    private final int capacity;
    private final Deque<Decision> decisions = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param capacity maximum number of decisions kept
     */
    public DecisionLog(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a decision; drops the oldest one if the log is full.
     *
     * @param decision the decision
     */
    public synchronized void add(Decision decision) {
        if (decisions.size() == capacity) {
            decisions.removeFirst();
        }
        decisions.addLast(decision);
    }

    /**
     * Finds the decisions about a subject.
     *
     * @param subject request id, or subject of a control decision
     * @return the decisions, oldest first
     */
    public synchronized List<Decision> findBySubject(String subject) {
        return decisions.stream()
                .filter(decision -> decision.requestId().equals(subject))
                .toList();
    }
}
