package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send paths and queries with bytes beyond ASCII, as a command line does that is given a name with accents. */
final class RawPath {
    private static final String[] TARGETS = {
        "/look/M\u00fcller", "/look/x?name=Mensajer\u00eda", "/look/x?place=Troms\u00f8&n=1", "/look/\u041c\u0438\u0440",
    };

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]).resolve("record.txt"));
        int exit;
        try (Fleet fleet = new Fleet(Path.of(args[0]), record, 3, 1, 1)) {
            exit = run(fleet, record, trouble);
        }
        record.note("exit " + exit);
        System.exit(exit);
    }

    private static int run(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.start();
        String config = "{\"version\":1,\"routes\":[{\"name\":\"look\",\"host\":\"app.example\",\"path_prefix\":"
            + "\"/look/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"target_latency_ms\":121,\"priority\":2,"
            + "\"service\":\"ledger\",\"max_attempts\":1}],\"services\":[{\"name\":\"ledger\",\"health_path\":"
            + "\"/health\",\"max_connections\":600,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
        if (!fleet.putFirst(config, 30_000)) return 2;
        Map<String, String> ran = new ConcurrentHashMap<>();
        new Server(fleet, record, "i-a", 0, "ledger", 5) {
            @Override
            void answer(Request request, OutputStream out) throws IOException {
                ran.put(request.header("X-Gentiandale-Request-Id"), request.target);
                super.answer(request, out);
            }
        };
        Fleet.Vm entry = fleet.entries.get(0);
        if (!fleet.awaitReady(entry, 20_000)) return 2;
        Thread.sleep(4_000);
        boolean isBroken = false;
        boolean hasRun = false;
        for (int i = 0; i < TARGETS.length; i++) {
            String id = "look-" + i;
            // One character of the string for each byte.
            String target = new String(TARGETS[i].getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            if (!trouble) target = escape(target);
            String status;
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(entry.ip, fleet.callerPort), 1_000);
                socket.setSoTimeout(3_000);
                socket.getOutputStream().write(("POST " + target + " HTTP/1.1\r\nHost: app.example\r\n"
                    + "X-Gentiandale-Request-Id: " + id + "\r\nX-Gentiandale-Deadline-Ms: 2000\r\n"
                    + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                Fleet.Answer answer = Fleet.Answer.read(socket.getInputStream());
                status = answer == null ? "closed" : Integer.toString(answer.status);
            } catch (IOException e) {
                status = e.toString();
            }
            String arrived = ran.get(id);
            record.note(id + " sent " + hex(target) + " -> " + status + ", ran as "
                + (arrived == null ? "-" : hex(arrived)));
            hasRun |= arrived != null;
            if (arrived != null && !arrived.equals(target)) {
                record.note("BROKEN: the server ran " + id + " with another path or query");
                isBroken = true;
            }
        }
        if (!trouble && !hasRun) return 2;
        return isBroken ? 1 : 0;
    }

    private static String escape(String target) {
        StringBuilder escaped = new StringBuilder();
        for (char c : target.toCharArray()) {
            if (c < 128) escaped.append(c); else escaped.append(String.format("%%%02X", (int) c));
        }
        return escaped.toString();
    }

    private static String hex(String target) {
        StringBuilder text = new StringBuilder();
        for (char c : target.toCharArray()) {
            if (c < 128) text.append(c); else text.append(String.format("<%02X>", (int) c));
        }
        return text.toString();
    }
}
