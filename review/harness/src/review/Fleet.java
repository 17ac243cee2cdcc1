package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The system's own processes, started with the commands and the template of deploy/system.toml. Each VM has a loopback
 * address of its own. The bounds are those of the sheet of pitchline-shared.
 */
final class Fleet implements AutoCloseable {
    private static final int TRIES = 50;
    private static final int METRICS_PORT = 9464;

    /** One VM with the process that the platform runs there. */
    final class Vm {
        final String name;
        final String ip;
        final String zone;
        final boolean isCore;
        private Process process;
        private boolean isFirstStart = true;

        Vm(String name, String ip, String zone, boolean isCore) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.isCore = isCore;
        }

        InetSocketAddress front() {
            return new InetSocketAddress(ip, frontPort);
        }

        InetSocketAddress ready() {
            return new InetSocketAddress(ip, readyPort);
        }

        InetSocketAddress control() {
            return new InetSocketAddress(ip, controlPort);
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        /** Writes the settings file anew, as the platform does at each start and when settings change. */
        Path writeSettings() throws IOException {
            Path settings = folder.resolve(name + ".yaml");
            Files.writeString(settings, Template.render(template, fields(this)));
            return settings;
        }

        void start() throws IOException {
            Path settings = writeSettings();
            isFirstStart = false;
            ProcessBuilder builder = new ProcessBuilder(isCore ? coreCommand : frontCommand);
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("GENTIANDALE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line(name + " started, process " + process.pid());
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.line("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits for the end, and kills the process after [graceMs] milliseconds, as the platform does. */
        void awaitEnd(long graceMs) throws InterruptedException {
            if (!process.waitFor(graceMs, TimeUnit.MILLISECONDS)) {
                record.line("SIGKILL to " + name);
                process.destroyForcibly();
            }
            process.waitFor();
            record.line(name + " ended, status " + process.exitValue());
        }

        void end() {
            if (process != null) process.destroyForcibly();
        }
    }

    final Path root;
    final Path folder;
    final Record record;
    final List<Vm> cores = new ArrayList<>();
    final List<Vm> fronts = new ArrayList<>();
    final String net;
    private final String template;
    private final List<String> coreCommand;
    private final List<String> frontCommand;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int peerPort;
    final int serverPort;

    /** Values of the bounds in the settings of processes that are started from now on. */
    final Map<String, Object> bounds = new HashMap<>(Map.of(
        "grace_s", 8, "lease_ms", 3000, "retry_budget_ratio", 0.2, "budget_min_retries", 54, "budget_window_s", 10));

    /** Creates a fleet with [coreCount] control VMs, each in a zone of its own, and front VMs in the zones [frontZones]. */
    Fleet(Path root, Record record, int coreCount, List<String> frontZones) throws IOException {
        this.root = root;
        this.record = record;
        folder = Files.createTempDirectory("gentiandale-review");
        Map<String, Map<String, String>> roles = roles(Files.readAllLines(root.resolve("deploy/system.toml")));
        coreCommand = List.of(roles.get("core").get("run").split(" +"));
        frontCommand = List.of(roles.get("front").get("run").split(" +"));
        template = Files.readString(root.resolve(roles.get("core").get("template")));
        net = freeNet();
        frontPort = freePort();
        readyPort = freePort();
        controlPort = freePort();
        peerPort = freePort();
        serverPort = freePort();
        for (int i = 0; i < coreCount; i++) {
            cores.add(new Vm("core-" + (i + 1), net + ".1." + (i + 1), "zone-" + (char) ('a' + i), true));
        }
        for (int i = 0; i < frontZones.size(); i++) {
            fronts.add(new Vm("front-" + (i + 1), net + ".2." + (i + 1), frontZones.get(i), false));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** Starts all VMs and waits until all fronts have configuration 1, [configuration], and report that they are ready. */
    void start(String configuration) throws Exception {
        for (Vm vm : all()) vm.start();
        put(configuration, 60_000);
    }

    void awaitReady(long limitMs) throws Exception {
        long endMs = record.nowMs() + limitMs;
        for (Vm front : fronts) {
            while (!isReady(front)) {
                if (record.nowMs() > endMs) throw new CannotRun(front.name + " is not ready");
                Thread.sleep(100);
            }
        }
        record.line("all fronts are ready");
    }

    /** Asks [vm] for its readiness as the platform does. */
    static boolean isReady(Vm vm) {
        try (Socket socket = new Socket()) {
            socket.connect(vm.ready(), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1", new byte[0], "Host", vm.ip));
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends [configuration] as the operator does, to one control VM after the other, until it is acknowledged. */
    void put(String configuration, long limitMs) throws Exception {
        long endMs = record.nowMs() + limitMs;
        for (int i = 0; record.nowMs() < endMs; i++) {
            Http.Message answer = call(cores.get(i % cores.size()), "POST", "/config/put", configuration);
            if (answer != null && answer.status() == 200) return;
            Thread.sleep(200);
        }
        throw new CannotRun("the configuration is not acknowledged");
    }

    /** Sends a call to the control interface of [vm] and returns the answer, or null if none arrives. */
    Http.Message call(Vm vm, String method, String path, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.connect(vm.control(), 1_000);
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(
                Http.bytes(method + " " + path + " HTTP/1.1", content, "Host", vm.ip, "Content-Type", "application/json"));
            return Http.read(socket.getInputStream(), true);
        } catch (IOException e) {
            return null;
        }
    }

    List<Vm> all() {
        List<Vm> all = new ArrayList<>(cores);
        all.addAll(fronts);
        return all;
    }

    @Override
    public void close() throws IOException {
        endAll();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
        }
    }

    private void endAll() {
        all().forEach(Vm::end);
    }

    private Map<String, Object> fields(Vm vm) {
        Map<String, Object> listen = new HashMap<>();
        if (vm.isCore) {
            listen.put("control", vm.ip + ":" + controlPort);
        } else {
            listen.put("front", vm.ip + ":" + frontPort);
            listen.put("ready", vm.ip + ":" + readyPort);
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("node", vm.name);
        fields.put("ip", vm.ip);
        fields.put("zone", vm.zone);
        fields.put("internal_port_range", List.of(peerPort, peerPort));
        fields.put("seeds", cores.stream().limit(3).map(core -> core.ip + ":" + controlPort).toList());
        fields.put("bootstrap", vm.isFirstStart);
        fields.put("heartbeat_ms", 1200);
        fields.put("listen", listen);
        if (vm.isCore) fields.put("data_dir", folder.resolve(vm.name + "-data"));
        fields.put("fault_tolerance", Map.of("machines", 1, "zones", 1));
        fields.put("bounds", bounds);
        return fields;
    }

    /** Returns the keys of each role by the class of VMs that it runs on. */
    private static Map<String, Map<String, String>> roles(List<String> lines) {
        Pattern entry = Pattern.compile("(\\w+) = \"(.*)\"");
        Map<String, Map<String, String>> byClass = new HashMap<>();
        Map<String, String> role = new HashMap<>();
        for (String line : lines) {
            if (line.startsWith("[roles.")) role = new HashMap<>();
            Matcher matcher = entry.matcher(line);
            if (!matcher.matches()) continue;
            role.put(matcher.group(1), matcher.group(2));
            if (matcher.group(1).equals("on")) byClass.put(matcher.group(2), role);
        }
        return byClass;
    }

    /** Returns a loopback network on which the port of the metrics, which the template fixes, is free. */
    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int i = 0; i < TRIES; i++) {
            String net = "127." + (20 + random.nextInt(200));
            try (ServerSocket first = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(net + ".1.1"));
                ServerSocket second = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(net + ".2.1"))) {
                return net;
            } catch (IOException e) {
                if (i == TRIES - 1) throw e;
            }
        }
        throw new IOException("no free loopback network");
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(net + ".1.1"))) {
            return socket.getLocalPort();
        }
    }
}
