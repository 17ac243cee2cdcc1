package review;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the platform's ingress: asks each front VM once a second for its readiness, and takes it out of rotation
 * after two misses until it answers 200 again.
 */
final class Platform {
    private static final int MAX_MISSES = 2;

    private final Fleet fleet;
    private final Map<Fleet.Vm, Integer> misses = new HashMap<>();

    Platform(Fleet fleet) {
        this.fleet = fleet;
    }

    void start() {
        for (Fleet.Vm front : fleet.fronts) {
            PlainServer.daemon(() -> {
                while (true) {
                    boolean isReady = Fleet.isReady(front);
                    synchronized (this) {
                        int before = misses.getOrDefault(front, 0);
                        int now = isReady ? 0 : before + 1;
                        misses.put(front, now);
                        if (before < MAX_MISSES && now == MAX_MISSES) fleet.record.line(front.name + " is out of rotation");
                        if (before >= MAX_MISSES && now == 0) fleet.record.line(front.name + " is in rotation again");
                    }
                    Thread.sleep(1_000);
                }
            });
        }
    }

    /** Returns the front VM that gets a new connection of the client with [hash] in [zone]. */
    synchronized InetSocketAddress choose(String zone, int hash) {
        List<Fleet.Vm> local = fleet.fronts.stream().filter(vm -> vm.zone.equals(zone)).toList();
        List<Fleet.Vm> inRotation = local.stream().filter(this::isInRotation).toList();
        List<Fleet.Vm> used = inRotation;
        if (inRotation.size() * 2 < local.size()) used = local;
        if (inRotation.isEmpty()) used = fleet.fronts.stream().filter(this::isInRotation).toList();
        if (used.isEmpty()) used = local;
        return used.get(Math.floorMod(hash, used.size())).front();
    }

    private boolean isInRotation(Fleet.Vm front) {
        return misses.getOrDefault(front, 0) < MAX_MISSES;
    }
}
