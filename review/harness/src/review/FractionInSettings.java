package review;

import java.nio.file.Path;
import java.util.List;

/**
 * A bound in the settings of the front VMs becomes a fraction, and they get SIGHUP. They are then stopped and started in
 * turn, as planned work. Their processes must not end by themselves.
 */
final class FractionInSettings extends Case {
    private static final long GRACE_MS = 8_000;
    private static final long HUP_GAP_MS = 1_000;
    private static final long RESTART_DELAY_MS = 300;

    /** An end within this time of a disruption on the machine, here its planned start, is not one of its own. */
    private static final long DISRUPTION_MS = 1_000;

    /** Ends of its own that make a machine count for the rule. */
    private static final int OWN_ENDS = 3;
    private static final long READY_WITHIN_MS = 15_000;

    @Override
    boolean play(Path root, Record record) throws Exception {
        int ended = 0;
        int notReady = 0;
        int ending = 0;
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            fleet.awaitReady(40_000);
            Object window = trouble ? (Object) 7.5 : (Object) 7;
            fleet.bounds.put("budget_window_s", window);
            record.say("budget_window_s becomes " + window);
            for (Fleet.Vm front : fleet.fronts) {
                front.writeSettings();
                front.signal("HUP");
                Thread.sleep(HUP_GAP_MS);
            }
            Thread.sleep(2_000);
            for (Fleet.Vm front : fleet.fronts) {
                front.signal("TERM");
                front.awaitEnd(GRACE_MS);
                int ends = awaitReady(front, record);
                ended += ends;
                boolean isReady = Fleet.isReady(front);
                if (!isReady) notReady++;
                if (ends >= OWN_ENDS) ending++;
                record.say(front.name + " ended by itself " + ends + " times and is " + (isReady ? "ready" : "not ready"));
            }
        }
        record.say(notReady + " of 2 front VMs did not come back, " + ended + " ends of their own");
        // A tenth of the machines in use, two at least: both front VMs of five machines.
        return ending >= 2;
    }

    /** Starts the process of [front], again after each end of its own, and returns the number of those. */
    private static int awaitReady(Fleet.Vm front, Record record) throws Exception {
        int ends = 0;
        long endMs = record.nowMs() + READY_WITHIN_MS;
        long startedMs = record.nowMs();
        front.start();
        while (record.nowMs() < endMs && !Fleet.isReady(front)) {
            Thread.sleep(100);
            if (front.isAlive()) continue;
            front.awaitEnd(0);
            if (record.nowMs() - startedMs > DISRUPTION_MS) ends++;
            Thread.sleep(RESTART_DELAY_MS);
            front.start();
        }
        return ends;
    }
}
