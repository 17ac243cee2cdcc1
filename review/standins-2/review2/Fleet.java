package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the programs of deploy/system.toml as processes, each on an address of its
 * own, with the settings that deploy/settings.yaml.tmpl renders.
 */
final class Fleet implements AutoCloseable {
    final Path repository;
    final Path folder;
    final Record record;
    final List<Vm> controls = new ArrayList<>();
    final List<Vm> entries = new ArrayList<>();
    final int peerPort;
    final int forwardPort;
    final int metricsPort;
    final int callerPort;
    final int readyPort;
    final int controlPort;
    final int serverPort;
    final int otherPeerPort;
    private final int toleratedLosses;
    private final String net;
    private final List<Vm> added = new ArrayList<>();
    private final List<BlackHole> holes = new ArrayList<>();

    Fleet(Path repository, Record record, int controlCount, int entryCount, int toleratedLosses) throws IOException {
        this.repository = repository;
        this.record = record;
        this.toleratedLosses = toleratedLosses;
        folder = Files.createTempDirectory("gentiandale-review-");
        Random random = new Random();
        net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        for (int i = 0; i < controlCount; i++) controls.add(new Vm("core-" + (i + 1), net + (10 + i), true));
        for (int i = 0; i < entryCount; i++) entries.add(new Vm("front-" + (i + 1), net + (100 + i), false));
        int base = 0;
        while (base == 0) {
            int candidate = 10_000 + random.nextInt(2_000) * 10;
            if (isFree(candidate)) base = candidate;
        }
        peerPort = base;
        forwardPort = base + 1;
        metricsPort = base + 2;
        callerPort = base + 3;
        readyPort = base + 4;
        controlPort = base + 5;
        serverPort = base + 6;
        otherPeerPort = base + 7;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private boolean isFree(int base) {
        for (int port = base; port < base + 10; port++) {
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(net + "10", port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Address for the stand-in of a server; number is 0 to 40. */
    String serverAddress(int number) {
        return net + (200 + number);
    }

    /** Starts all processes; the first start of the whole system. */
    void start() throws IOException {
        for (Vm vm : controls) vm.start(true);
        for (Vm vm : entries) vm.start(true);
    }

    /** Returns a further control VM, which has not been started. */
    Vm addControl(int number) {
        Vm vm = new Vm("core-" + number, net + (9 + number), true);
        added.add(vm);
        return vm;
    }

    /** One machine with its process. */
    final class Vm {
        final String name;
        final String ip;
        final boolean isControl;
        Process process;
        int starts;
        /** Control VMs that the settings name as seeds; null for the first three. */
        List<Vm> seeds;
        /** Port of the process for other processes, if it is not the common one. */
        int ownPeerPort;

        Vm(String name, String ip, boolean isControl) {
            this.name = name;
            this.ip = ip;
            this.isControl = isControl;
        }

        void start(boolean first) throws IOException {
            Path settings = folder.resolve(name + ".yaml");
            StringBuilder text = new StringBuilder();
            text.append("vm: \"").append(ip).append("\"\nname: \"").append(name).append("\"\n");
            text.append("data-centre: \"zone-").append(name.charAt(name.length() - 1)).append("\"\n");
            text.append("first-start: ").append(first).append("\npeer-port: ")
                .append(ownPeerPort == 0 ? peerPort : ownPeerPort).append('\n');
            if (!isControl) text.append("forward-port: ").append(forwardPort).append('\n');
            text.append("metrics-port: ").append(metricsPort).append('\n');
            if (isControl) text.append("data-folder: \"").append(folder.resolve(name)).append("\"\n");
            if (!isControl) {
                text.append("callers: \"").append(ip).append(':').append(callerPort).append("\"\n");
                text.append("readiness: \"").append(ip).append(':').append(readyPort).append("\"\n");
            } else {
                text.append("control: \"").append(ip).append(':').append(controlPort).append("\"\n");
            }
            text.append("heartbeat: \"1200 ms\"\ntolerated-losses: ").append(toleratedLosses).append('\n');
            text.append("grace: \"8 s\"\nlease: \"3000 ms\"\nretry-ratio: 0.2\nretry-minimum: 58\n");
            text.append("retry-window: \"10 s\"\nseeds:\n");
            for (Vm seed : seeds == null ? controls.subList(0, Math.min(3, controls.size())) : seeds) {
                text.append("  - \"").append(seed.ip).append(':').append(controlPort).append("\"\n");
            }
            Files.writeString(settings, text);
            if (isControl) Files.createDirectories(folder.resolve(name));
            ProcessBuilder builder = new ProcessBuilder(command(isControl ? "control" : "entry"));
            builder.directory(repository.toFile());
            builder.environment().put("GENTIANDALE_SETTINGS", settings.toString());
            starts++;
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "." + starts + ".log").toFile());
            process = builder.start();
            record.note("started " + name + " at " + ip + " as process " + process.pid());
        }

        /** Sends a signal, such as "STOP", to the process. */
        void signal(String signal) throws Exception {
            record.note("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }

        void kill() throws Exception {
            record.note("SIGKILL to " + name);
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }

        String log() throws IOException {
            StringBuilder all = new StringBuilder();
            for (int i = 1; i <= starts; i++) {
                all.append(new String(Files.readAllBytes(folder.resolve(name + "." + i + ".log")),
                    StandardCharsets.UTF_8));
            }
            return all.toString();
        }

        /** Resident memory in megabytes. */
        long residentMb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
                }
            } catch (IOException e) {
                return 0;
            }
            return 0;
        }
    }

    /** Returns the command of a role from the deploy file. */
    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) throw new IOException("no role " + role + " in deploy/system.toml");
        return Arrays.asList(run.group(1).split(" +"));
    }

    /** Lets nothing at the address of the stopped vm answer, as with a machine that has no power. */
    void silence(Vm vm) throws IOException {
        holes.add(new BlackHole(vm.ip, peerPort));
        holes.add(new BlackHole(vm.ip, controlPort));
        record.note(vm.name + " no longer responds: connections to it hang");
    }

    /** Sends one call and returns its answer, or null without one. */
    static Answer call(String ip, int port, String method, String path, String headers, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), Math.min(timeoutMs, 1_000));
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            out.write((method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length
                + "\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
            return Answer.read(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    /** Sends a configuration to one control VM; returns the status, or 0 without an answer. */
    int put(Vm vm, String configuration, int timeoutMs) {
        Answer answer = call(vm.ip, controlPort, "POST", "/config/put",
            "Host: control\r\nContent-Type: application/json\r\n", configuration.getBytes(StandardCharsets.UTF_8),
            timeoutMs);
        return answer == null ? 0 : answer.status;
    }

    /** Sends the first configuration until it is accepted. */
    boolean putFirst(String configuration, long limitMs) throws InterruptedException {
        long end = System.currentTimeMillis() + limitMs;
        while (System.currentTimeMillis() < end) {
            for (Vm vm : controls) {
                if (put(vm, configuration, 1_500) == 200) {
                    record.note("first configuration acknowledged by " + vm.name);
                    return true;
                }
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Waits until an entry VM says that it is ready. */
    boolean awaitReady(Vm vm, long limitMs) throws InterruptedException {
        long end = System.currentTimeMillis() + limitMs;
        while (System.currentTimeMillis() < end) {
            Answer answer = call(vm.ip, readyPort, "GET", "/ready", "Host: ready\r\n", new byte[0], 1_000);
            if (answer != null && answer.status == 200) return true;
            Thread.sleep(200);
        }
        return false;
    }

    /** Value of a metric without labels, or NaN. */
    double metric(Vm vm, String name) {
        Answer answer = call(vm.ip, metricsPort, "GET", "/metrics", "Host: m\r\n", new byte[0], 1_000);
        if (answer == null) return Double.NaN;
        for (String line : new String(answer.body, StandardCharsets.UTF_8).split("\n")) {
            if (line.startsWith(name + " ")) return Double.parseDouble(line.substring(name.length() + 1).trim());
        }
        return Double.NaN;
    }

    /** The control VM that leads the store, or null. */
    Vm leader() {
        for (Vm vm : controls) {
            if (vm.process.isAlive() && metric(vm, "gentiandale_agreement_leader") == 1.0) return vm;
        }
        return null;
    }

    private boolean isClosed;

    @Override
    public synchronized void close() {
        if (isClosed) return;
        isClosed = true;
        for (BlackHole hole : holes) hole.close();
        List<Vm> all = new ArrayList<>(controls);
        all.addAll(entries);
        all.addAll(added);
        for (Vm vm : all) if (vm.process != null) vm.process.destroyForcibly();
        for (Vm vm : all) {
            try {
                if (vm.process != null) vm.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        } catch (IOException e) {
            System.err.println("temporary folder not removed: " + e);
        }
    }

    /** A listener that accepts nothing and whose queue is full, so that connections to it hang. */
    private static final class BlackHole {
        private final ServerSocket listener;
        private final List<Socket> queued = new ArrayList<>();

        BlackHole(String ip, int port) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1);
            for (int i = 0; i < 16; i++) {
                Socket socket = new Socket();
                queued.add(socket);
                try {
                    socket.connect(new InetSocketAddress(ip, port), 200);
                } catch (SocketTimeoutException full) {
                    return;
                }
            }
        }

        void close() {
            try {
                for (Socket socket : queued) socket.close();
                listener.close();
            } catch (IOException e) {
                System.err.println(e);
            }
        }
    }

    /** One HTTP answer. */
    static final class Answer {
        int status;
        String head = "";
        byte[] body = new byte[0];
        /** Whether the body is complete by its framing. */
        boolean isWhole;

        String header(String name) {
            for (String line : head.split("\r\n")) {
                int colon = line.indexOf(':');
                if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) return line.substring(colon + 1).trim();
            }
            return null;
        }

        /** Reads one answer, or returns null if the connection ends before its head. */
        static Answer read(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            int c;
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                c = in.read();
                if (c < 0) return null;
                head.append((char) c);
            }
            Answer answer = new Answer();
            answer.head = head.toString();
            answer.status = Integer.parseInt(answer.head.split(" ")[1]);
            if (answer.status == 100) return read(in);
            String length = answer.header("Content-Length");
            var body = new java.io.ByteArrayOutputStream();
            try {
                if (length != null) {
                    int left = Integer.parseInt(length);
                    byte[] buffer = new byte[65_536];
                    while (left > 0) {
                        int n = in.read(buffer, 0, Math.min(left, buffer.length));
                        if (n < 0) break;
                        body.write(buffer, 0, n);
                        left -= n;
                    }
                    answer.isWhole = left == 0;
                } else if (answer.header("Transfer-Encoding") != null) {
                    answer.isWhole = readChunks(in, body);
                }
            } catch (IOException e) {
                answer.isWhole = false;
            }
            answer.body = body.toByteArray();
            return answer;
        }

        private static boolean readChunks(InputStream in, java.io.ByteArrayOutputStream body) throws IOException {
            while (true) {
                String line = line(in);
                if (line == null) return false;
                int size = Integer.parseInt(line.trim().split(";")[0], 16);
                for (int i = 0; i < size; i++) {
                    int c = in.read();
                    if (c < 0) return false;
                    body.write(c);
                }
                if (line(in) == null) return false;
                if (size == 0) return true;
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            int c;
            while ((c = in.read()) != '\n') {
                if (c < 0) return null;
                line.append((char) c);
            }
            return line.toString();
        }
    }
}
