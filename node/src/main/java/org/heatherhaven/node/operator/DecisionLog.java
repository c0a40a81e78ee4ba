package org.heatherhaven.node.operator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.heatherhaven.core.effect.Decision;

/** The latest decisions of a node, bounded; safe to use from any thread. */
public final class DecisionLog {

    private final int capacity;
    private final Deque<Decision> decisions = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param capacity number of decisions kept
     */
    public DecisionLog(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Adds a decision, dropping the oldest if need be.
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
     * @param subject a request id, or the subject of a control decision
     * @return the decisions, the oldest first
     */
    public synchronized List<Decision> findBySubject(String subject) {
        return decisions.stream()
                .filter(decision -> decision.requestId().equals(subject))
                .toList();
    }
}
