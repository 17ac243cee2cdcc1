package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server deregisters without having reported that it drains, which is acknowledged. All processes of the system are
 * killed right after that and come back. A heartbeat that the server sent before it left arrives late. No request may
 * reach the server later than drain_ms after the acknowledgement, as far as machines in touch handle it.
 */
final class DepartedServerReturns extends Case {
    private static final int SERVERS = 4;
    private static final long KILL_AFTER_MS = 50;
    private static final long DOWN_MS = 700;
    private static final long DRAIN_MS = 2_000;
    private static final long CONTACT_MS = 3_000;

    /** Time from the sending of the heartbeat to its arrival. */
    private static final long LATE_MS = 5_000;

    /** Time from the acknowledgement for which the server goes on serving. */
    private static final long SERVES_MS = 14_000;

    @Override
    boolean play(Path root, Record record) throws Exception {
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        Random random = new Random(seed);
        try (Fleet fleet = new Fleet(root, record, 3, List.of("zone-a", "zone-b"))) {
            fleet.start(Configurations.plain(1));
            List<PlainServer> servers = new ArrayList<>();
            for (int i = 1; i <= SERVERS; i++) {
                servers.add(new PlainServer(fleet, Configurations.PLAIN_SERVICE, i, runs, () -> 15 + random.nextInt(13), seed));
            }
            for (PlainServer server : servers) server.start();
            fleet.awaitReady(40_000);
            Thread.sleep(3_000);
            new Traffic(fleet, seed).start();
            Thread.sleep(3_000);
            return leave(fleet, record, servers.get(SERVERS - 1));
        }
    }

    private boolean leave(Fleet fleet, Record record, PlainServer server) throws Exception {
        Fleet.Vm control = fleet.cores.get(0);
        String lateHeartbeat = server.nextHeartbeat();
        long heartbeatMs = record.nowMs();
        if (!server.deregister(control)) throw new CannotRun("the deregistration is not acknowledged");
        long ackMs = record.nowMs();
        record.say(server.id + " has deregistered at " + control.name + ", acknowledged at " + ackMs + " ms");
        Thread.sleep(KILL_AFTER_MS);
        long backMs = ackMs;
        if (trouble) {
            record.line("all processes are killed");
            for (Fleet.Vm vm : fleet.all()) vm.end();
            Thread.sleep(DOWN_MS);
            for (Fleet.Vm vm : fleet.all()) vm.start();
            backMs = record.nowMs();
            fleet.awaitReady(20_000);
        }
        Thread.sleep(Math.max(0, heartbeatMs + LATE_MS - record.nowMs()));
        boolean isTaken = server.sendHeartbeat(control, lateHeartbeat);
        record.say("the heartbeat sent at " + heartbeatMs + " ms arrives" + (isTaken ? ", acknowledged" : ""));
        // Twice the contact time, since all of the core was down.
        long judgedMs = Math.max(ackMs + DRAIN_MS, backMs + 2 * CONTACT_MS);
        Thread.sleep(Math.max(0, judgedMs - record.nowMs()));
        int before = server.ran.get();
        record.line("from here on, requests that reach " + server.id + " count");
        Thread.sleep(Math.max(0, ackMs + SERVES_MS - record.nowMs()));
        int reached = server.ran.get() - before;
        record.say("DRAIN: " + reached + " requests reached and ran at " + server.id + " from " + (judgedMs - ackMs) + " ms to "
            + (record.nowMs() - ackMs) + " ms after the acknowledgement");
        return reached > 0;
    }
}
