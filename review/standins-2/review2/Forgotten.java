package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The control VMs that were the seeds of an entry VM are replaced; later the entry VM is cut off from the others. */
final class Forgotten {
    private static final long CONTACT_MS = 3_000;
    private static final long APPLY_MS = 2_000;
    private static final int CUT_S = Integer.getInteger("cut", 65);

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 4, 2, 1); Paths paths = new Paths()) {
            exit = run(fleet, paths, record, trouble);
        }
        record.note("exit " + exit);
        System.exit(exit);
    }

    private static String config(int version, String path) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"always\",\"host\":\"app.example\",\"path_prefix\":"
            + "\"/always/\",\"kind\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":121,\"priority\":2,"
            + "\"service\":\"ledger\",\"max_attempts\":2},{\"name\":\"now\",\"host\":\"app.example\",\"path_prefix\":\""
            + path + "\",\"kind\":\"safe\",\"timeout_ms\":1000,\"target_latency_ms\":121,\"priority\":2,"
            + "\"service\":\"ledger\",\"max_attempts\":2}],\"services\":[{\"name\":\"ledger\",\"health_path\":"
            + "\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }

    private static int run(Fleet fleet, Paths paths, Record record, boolean trouble) throws Exception {
        Fleet.Vm cutOff = fleet.entries.get(0);
        Fleet.Vm other = fleet.entries.get(1);
        cutOff.ownPeerPort = fleet.otherPeerPort;
        paths.open(cutOff.ip, fleet.peerPort, fleet.otherPeerPort);
        for (Fleet.Vm vm : fleet.controls) paths.open(vm.ip, fleet.otherPeerPort, fleet.peerPort);
        fleet.start();
        if (!fleet.putFirst(config(1, "/before/"), 20_000)) return 2;
        new Server(fleet, record, "i-a", 0, "ledger", 5);
        if (!fleet.awaitReady(cutOff, 15_000) || !fleet.awaitReady(other, 15_000)) return 2;
        for (int i = 0; i < 3; i++) {
            Fleet.Vm old = fleet.controls.get(0);
            Fleet.Vm successor = fleet.addControl(5 + i);
            successor.seeds = new ArrayList<>(fleet.controls.subList(1, 4));
            paths.open(successor.ip, fleet.otherPeerPort, fleet.peerPort);
            successor.start(false);
            fleet.controls.add(successor);
            Thread.sleep(2_000);
            old.signal("TERM");
            old.process.waitFor();
            fleet.controls.remove(old);
            record.note(old.name + " is gone for good, replaced by " + successor.name);
            Thread.sleep(4_000);
        }
        if (look(fleet, cutOff, record, "before", "/before/x") != 200) return 2;
        if (trouble) {
            record.note(cutOff.name + " is cut off from all control VMs for " + CUT_S + " s");
            paths.cut();
            Thread.sleep(CUT_S * 1_000L);
            paths.heal();
            record.note("the cut has healed");
        }
        Thread.sleep(CONTACT_MS);
        int status = 0;
        for (int tries = 0; tries < 10 && status != 200; tries++) {
            status = fleet.put(fleet.controls.get(tries % 4), config(2, "/after/"), 2_500);
        }
        if (status != 200) return 2;
        record.note("version 2, without /before/ and with /after/, is acknowledged");
        Thread.sleep(APPLY_MS + 500);
        boolean isBroken = false;
        for (int i = 0; i < 6; i++) {
            int otherStatus = look(fleet, other, record, "other-" + i, "/after/x");
            int dropped = look(fleet, cutOff, record, "dropped-" + i, "/before/x");
            int added = look(fleet, cutOff, record, "added-" + i, "/after/x");
            if (otherStatus != 200) return 2;
            if (dropped == 200) record.note("BROKEN: ran with a dropped route");
            if (added == 404) record.note("BROKEN: refused with 404 though the route is there");
            isBroken |= dropped == 200 || added == 404;
            Thread.sleep(1_000);
        }
        for (Fleet.Vm vm : List.of(cutOff, other)) {
            record.note(vm.name + " has version " + fleet.metric(vm, "gentiandale_configuration_version")
                + " in force, last notice of a control VM "
                + fleet.metric(vm, "gentiandale_control_age_seconds") + " s ago");
        }
        return isBroken ? 1 : 0;
    }

    private static int look(Fleet fleet, Fleet.Vm entry, Record record, String id, String path) {
        Fleet.Answer answer = Fleet.call(entry.ip, fleet.callerPort, "GET", path, "Host: app.example\r\n"
            + "X-Gentiandale-Request-Id: " + id + "\r\nX-Gentiandale-Deadline-Ms: 1000\r\n", new byte[0], 2_000);
        int status = answer == null ? 0 : answer.status;
        record.note(entry.name + ": GET " + path + " as " + id + " -> " + status
            + (answer == null ? "" : " " + new String(answer.body, StandardCharsets.UTF_8)));
        return status;
    }
}
