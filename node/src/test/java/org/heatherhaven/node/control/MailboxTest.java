package org.heatherhaven.node.control;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

import net.jqwik.api.Example;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;

/** The mailbox between sender threads and the control thread is linearizable, and refuses only new work when full. */
@Param(name = "event", gen = IntGen.class, conf = "1:3")
public class MailboxTest {

    private final Mailbox<Integer> mailbox = new Mailbox<>(1_000);

    @Operation
    public boolean offer(@Param(name = "event") int event) {
        return mailbox.offer(event);
    }

    @Operation
    public void put(@Param(name = "event") int event) {
        mailbox.put(event);
    }

    @Operation(nonParallelGroup = "control")
    public Integer poll() {
        return mailbox.poll().orElse(null);
    }

    /** Sequential specification of the mailbox. */
    public static class Sequential {

        private final Queue<Integer> queue = new ArrayDeque<>();

        public boolean offer(int event) {
            return queue.add(event);
        }

        public void put(int event) {
            queue.add(event);
        }

        public Integer poll() {
            return queue.poll();
        }
    }

    @Example
    void everyConcurrentExecutionEqualsASequentialOne() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(1_000)
                .threads(3)
                .actorsPerThread(3)
                .sequentialSpecification(Sequential.class)
                .check(MailboxTest.class);
    }

    @Example
    void aFullMailboxRefusesNewWorkButAcceptsTheEndOfWork() {
        Mailbox<Integer> small = new Mailbox<>(1);
        expect(true, small.offer(1));
        expect(false, small.offer(2));
        small.put(3);
        expect(Optional.of(1), small.poll());
        expect(Optional.of(3), small.poll());
        expect(Optional.empty(), small.poll());
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }
}
