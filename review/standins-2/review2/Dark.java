package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Control VMs lose their power for a long time, while the operator changes a large configuration. */
final class Dark {
    private static final long CONTACT_MS = 4_000;
    private static final long ACK_MS = 5_000;

    static String config(long version, int routes, Random random) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            if (i > 0) text.append(',');
            text.append("{\"name\":\"r-").append(word(random, 7)).append("\",\"host\":\"").append(word(random, 6))
                .append(".example\",\"path_prefix\":\"/").append(word(random, 7)).append("/\",\"kind\":\"unsafe\",")
                .append("\"timeout_ms\":").append(1_000 + random.nextInt(9_000)).append(",\"target_latency_ms\":121,")
                .append("\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1}");
        }
        return text + "],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    private static String word(Random random, int length) {
        StringBuilder word = new StringBuilder();
        for (int i = 0; i < length; i++) word.append((char) ('a' + random.nextInt(26)));
        return word.toString();
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int routes = Integer.getInteger("routes", 1_400);
        int gapMs = Integer.getInteger("gap", 2_000);
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 5, 1, 2)) {
            exit = run(fleet, record, trouble, routes, gapMs);
        }
        record.note("exit " + exit);
        System.exit(exit);
    }

    private static int run(Fleet fleet, Record record, boolean trouble, int routes, int gapMs) throws Exception {
        Random random = new Random(1);
        long startMs = System.currentTimeMillis();
        fleet.start();
        long version = 1;
        if (!fleet.putFirst(config(version, routes, random), 20_000)) return 2;
        // All five control VMs are voters by then.
        Thread.sleep(8_000);
        Fleet.Vm leader = fleet.leader();
        if (leader == null) return 2;
        List<Fleet.Vm> rest = new ArrayList<>(fleet.controls);
        if (trouble) {
            for (Fleet.Vm vm : fleet.controls) {
                if (vm == leader || rest.size() == 3) continue;
                vm.kill();
                fleet.silence(vm);
                rest.remove(vm);
            }
        }
        Thread.sleep(CONTACT_MS);
        long limitMs = ACK_MS + 3L * routes;
        long acknowledged = version;
        long lastChangeMs = startMs + 95_000;
        boolean isBroken = false;
        int turn = 0;
        while (!isBroken && System.currentTimeMillis() < lastChangeMs) {
            version++;
            String text = config(version, routes, random);
            long sentMs = System.currentTimeMillis();
            int status = 0;
            int tries = 0;
            while (status != 200 && System.currentTimeMillis() - sentMs < limitMs) {
                if (tries++ > 0) Thread.sleep(100);
                status = fleet.put(rest.get(turn++ % rest.size()), text, 2_500);
            }
            long tookMs = System.currentTimeMillis() - sentMs;
            record.note("configuration " + version + ": status " + status + " after " + tookMs + " ms, " + tries
                + " tries; leader " + leader.name + " has " + leader.residentMb() + " MB, alive "
                + leader.process.isAlive());
            if (status == 200) {
                acknowledged = version;
                Thread.sleep(gapMs);
            } else {
                record.note("BROKEN: no acknowledgement after ack_ms and 3 ms for each route");
                isBroken = true;
            }
        }
        if (!isRead(fleet, record, rest, acknowledged)) isBroken = true;
        for (Fleet.Vm vm : rest) {
            String log = vm.log();
            int at = log.indexOf("OutOfMemory");
            if (at >= 0) record.note(vm.name + " logged: " + log.substring(at, log.indexOf('\n', at)));
        }
        return isBroken ? 1 : 0;
    }

    /** Reads the configuration at all running control VMs for at least the time in which they get in touch. */
    private static boolean isRead(Fleet fleet, Record record, List<Fleet.Vm> rest, long acknowledged) throws Exception {
        long endMs = System.currentTimeMillis() + CONTACT_MS + 1_000;
        int tries = 0;
        while (System.currentTimeMillis() < endMs) {
            Fleet.Vm vm = rest.get(tries++ % rest.size());
            Fleet.Answer answer = Fleet.call(vm.ip, fleet.controlPort, "GET", "/config/get", "Host: control\r\n",
                new byte[0], 2_000);
            if (answer != null && answer.status == 200) {
                String text = new String(answer.body, StandardCharsets.UTF_8);
                long read = Long.parseLong(text.replaceAll("(?s)^\\{\"version\":(\\d+).*", "$1"));
                record.note("configuration read back: version " + read + ", newest acknowledged " + acknowledged);
                if (read < acknowledged) record.note("BROKEN: read back older than acknowledged");
                return read >= acknowledged;
            }
            Thread.sleep(200);
        }
        record.note("BROKEN: the configuration is not read back, " + tries + " tries");
        return false;
    }
}
