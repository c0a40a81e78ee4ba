package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.pressure.ShedRule;

/**
 * Simulates a surge on a small service deep in the call graph. The calls of admitted root requests, of two levels of
 * urgency, arrive there with a delay, so that a controller that reacts too fast would oscillate.
 */
class PressureControllerTest {

    private static final Duration WINDOW = Duration.ofMillis(100);
    private static final Duration SERVICE = Duration.ofMillis(40);
    private static final double LIMIT = 14;
    private static final int DELAY_WINDOWS = 8;
    private static final List<Integer> LEVELS = List.of(4, 6);

    /** Calls per second that the service can process. */
    private static final double CAPACITY = LIMIT * 1_000 / SERVICE.toMillis();

    private PressureController controller = PressureController.INITIAL;
    private double urgent;
    private double lessUrgent;
    private double capacityUsed;

    /**
     * Simulates windows with a demand given as a fraction of the capacity; 40 % of it is urgent and must not be shed.
     */
    private void run(double demand, int windows) {
        Deque<Double> inTransit = new ArrayDeque<>();
        urgent = 0;
        lessUrgent = 0;
        for (int window = 0; window < windows; window++) {
            double urgentAdmitted = 1 - ShedRule.shedFraction(controller.pressure(), 4, LEVELS);
            double lessUrgentAdmitted = 1 - ShedRule.shedFraction(controller.pressure(), 6, LEVELS);
            inTransit.add(demand * (0.4 * urgentAdmitted + 0.6 * lessUrgentAdmitted));
            double arriving = inTransit.size() > DELAY_WINDOWS ? inTransit.poll() : Math.min(demand, 1);
            int calls = (int) Math.round(arriving * CAPACITY * WINDOW.toMillis() / 1_000);
            for (int call = 0; call < calls; call++) {
                controller = controller.withArrival();
            }
            controller = controller.windowClosed(WINDOW, LIMIT, SERVICE, arriving > 1);
            if (window >= windows / 2) {
                urgent += urgentAdmitted / (windows - windows / 2);
                lessUrgent += lessUrgentAdmitted / (windows - windows / 2);
                capacityUsed = 0.9 * capacityUsed + 0.1 * Math.min(1, arriving);
            }
        }
    }

    @Example
    void aSurgeShedsLessUrgentRequestsAndHardlyAnyUrgentOnes() {
        run(1.5, 200);
        if (urgent < 0.97 || lessUrgent > 0.65 || lessUrgent < 0.25) {
            throw new AssertionError("urgent " + urgent + ", less urgent " + lessUrgent);
        }
    }

    @Example
    void theServiceStaysWellUtilizedDuringASurge() {
        run(1.5, 200);
        if (capacityUsed < 0.85) {
            throw new AssertionError("used " + capacityUsed);
        }
    }

    @Example
    void allRequestsAreAdmittedAgainWithinSecondsAfterASurge() {
        run(1.5, 200);
        run(0.6, 80);
        if (controller.pressure() > 20) {
            throw new AssertionError("pressure " + controller.pressure());
        }
    }

    @Example
    void aTargetWhoseRunsOnlyWaitForOtherServicesReportsNoPressure() {
        for (int window = 0; window < 50; window++) {
            for (int call = 0; call < 30; call++) {
                controller = controller.withArrival();
            }
            controller = controller.windowClosed(WINDOW, 58, Duration.ofMillis(900), false);
        }
        if (controller.pressure() != 0) {
            throw new AssertionError("pressure " + controller.pressure());
        }
    }
}
