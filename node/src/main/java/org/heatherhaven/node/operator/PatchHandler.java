package org.heatherhaven.node.operator;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.heatherhaven.core.effect.Effect.AnswerPatch;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.model.PolicyPatch;

/** Takes operators' patches to the control thread and their answers back. */
public final class PatchHandler {

    private final Consumer<Event> events;
    private final Map<String, CompletableFuture<AnswerPatch>> pending = new ConcurrentHashMap<>();

    /**
     * Creates a desk.
     *
     * @param events takes the patches
     */
    public PatchHandler(Consumer<Event> events) {
        this.events = events;
    }

    /**
     * Sends a patch.
     *
     * @param patch the patch
     * @return completes with its answer
     */
    public CompletableFuture<AnswerPatch> submit(PolicyPatch patch) {
        CompletableFuture<AnswerPatch> answer = pending.computeIfAbsent(patch.id(), id -> new CompletableFuture<>());
        events.accept(new ControlEvent.PatchSubmitted(patch));
        return answer;
    }

    /**
     * Passes an answer to the operator who waits for it.
     *
     * @param answer the answer
     */
    public void complete(AnswerPatch answer) {
        Optional.ofNullable(pending.remove(answer.patchId())).ifPresent(future -> future.complete(answer));
    }
}
