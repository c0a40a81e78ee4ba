package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.pressure.ShedRule;

/**
 * Replays a surge on a small deep service: two levels of root requests, whose calls reach it a while after they were
 * let in, and whose report comes back as late.
 */
class PressureControllerTest {

    private static final Duration WINDOW = Duration.ofMillis(100);
    private static final Duration SERVICE = Duration.ofMillis(40);
    private static final double LIMIT = 14;
    private static final int DELAY_WINDOWS = 8;
    private static final List<Integer> LEVELS = List.of(4, 6);

    /** Calls a second that the service can do. */
    private static final double CAPACITY = LIMIT * 1_000 / SERVICE.toMillis();

    private PressureController controller = PressureController.INITIAL;
    private double urgent;
    private double lessUrgent;
    private double capacityUsed;

    /** Runs windows with a demand in parts of the capacity; half of it is urgent work that must not be shut out. */
    private void run(double demand, int windows) {
        Deque<Double> underWay = new ArrayDeque<>();
        urgent = 0;
        lessUrgent = 0;
        for (int window = 0; window < windows; window++) {
            double urgentPart = 1 - ShedRule.shedFraction(controller.pressure(), 4, LEVELS);
            double modestPart = 1 - ShedRule.shedFraction(controller.pressure(), 6, LEVELS);
            underWay.add(demand * (0.4 * urgentPart + 0.6 * modestPart));
            double arriving = underWay.size() > DELAY_WINDOWS ? underWay.poll() : Math.min(demand, 1);
            int calls = (int) Math.round(arriving * CAPACITY * WINDOW.toMillis() / 1_000);
            for (int call = 0; call < calls; call++) {
                controller = controller.withArrival();
            }
            controller = controller.windowClosed(WINDOW, LIMIT, SERVICE, arriving > 1);
            if (window >= windows / 2) {
                urgent += urgentPart / (windows - windows / 2);
                lessUrgent += modestPart / (windows - windows / 2);
                capacityUsed = 0.9 * capacityUsed + 0.1 * Math.min(1, arriving);
            }
        }
    }

    @Example
    void aSurgeShutsOutTheLessUrgentAndLeavesTheUrgentAlone() {
        run(1.5, 200);
        if (urgent < 0.97 || lessUrgent > 0.65 || lessUrgent < 0.25) {
            throw new AssertionError("urgent " + urgent + ", less urgent " + lessUrgent);
        }
    }

    @Example
    void theServiceStaysBusyUnderASurge() {
        run(1.5, 200);
        if (capacityUsed < 0.85) {
            throw new AssertionError("used " + capacityUsed);
        }
    }

    @Example
    void afterASurgeEverythingIsLetInAgainWithinSeconds() {
        run(1.5, 200);
        run(0.6, 80);
        if (controller.pressure() > 20) {
            throw new AssertionError("pressure " + controller.pressure());
        }
    }

    @Example
    void aTargetWhoseRunsOnlyWaitForOthersPressesNobody() {
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
