package review;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Requests of clients to the plain service at the rates of the sheet, to random front VMs over kept connections. */
final class Traffic {
    private static final double UNSAFE_PER_S = 33.7;
    private static final double SAFE_PER_S = 13.5;
    private static final long DEADLINE_MS = 600;

    /** Status of the answer to each unsafe request; 0 if there was none. */
    final Map<String, Integer> unsafeStatuses = new ConcurrentHashMap<>();
    private final Fleet fleet;
    private final Random random;
    private final Caller caller;
    private final ExecutorService clients = Executors.newCachedThreadPool(job -> {
        Thread thread = new Thread(job);
        thread.setDaemon(true);
        return thread;
    });

    Traffic(Fleet fleet, long seed) {
        this.fleet = fleet;
        random = new Random(seed);
        caller = new Caller(fleet.record, "q");
    }

    /** Sends requests until [endMs]. */
    void sendUntil(long endMs) throws InterruptedException {
        while (fleet.record.nowMs() < endMs) {
            Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / (UNSAFE_PER_S + SAFE_PER_S)));
            boolean unsafe = random.nextDouble() < UNSAFE_PER_S / (UNSAFE_PER_S + SAFE_PER_S);
            Fleet.Vm front = fleet.fronts.get(random.nextInt(fleet.fronts.size()));
            clients.submit(() -> {
                Caller.Answer answer = unsafe
                    ? caller.send(front.front(), false, "POST", Configurations.BOOK + "1",
                        "book a pitch".repeat(50).getBytes(StandardCharsets.UTF_8), DEADLINE_MS)
                    : caller.send(front.front(), false, "GET", Configurations.LOOK + "1", new byte[0], DEADLINE_MS);
                if (unsafe) unsafeStatuses.put(answer.requestId(), answer.status());
            });
        }
        // Time for the last answers.
        Thread.sleep(2 * DEADLINE_MS + 500);
    }

    /** Sends requests until the program ends. */
    void start() {
        PlainServer.daemon(() -> sendUntil(Long.MAX_VALUE));
    }
}
