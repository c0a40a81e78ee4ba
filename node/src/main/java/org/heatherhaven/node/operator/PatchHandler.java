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

/** Submits operators' patches to the control thread and completes them with their results; thread-safe. */
public final class PatchHandler {

    private final Consumer<Event> events;
    private final Map<String, CompletableFuture<AnswerPatch>> pending = new ConcurrentHashMap<>();

    /**
     * Creates a handler.
     *
     * @param events receives the submitted patches as events
     */
    public PatchHandler(Consumer<Event> events) {
        this.events = events;
    }

    /**
     * Submits a patch. Submissions of the same patch id that are pending together complete with the same result.
     *
     * @param patch the patch
     * @return completes with the result
     */
    public CompletableFuture<AnswerPatch> submit(PolicyPatch patch) {
        CompletableFuture<AnswerPatch> result = pending.computeIfAbsent(patch.id(), id -> new CompletableFuture<>());
        events.accept(new ControlEvent.PatchSubmitted(patch));
        return result;
    }

    /**
     * Completes a pending patch with its result; does nothing if none with its id is pending.
     *
     * @param result the result
     */
    public void complete(AnswerPatch result) {
        Optional.ofNullable(pending.remove(result.patchId())).ifPresent(future -> future.complete(result));
    }
}
