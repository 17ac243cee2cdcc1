package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a sound server of a plain service: it sends heartbeats and answers each request after its work time. */
class Server implements AutoCloseable {
    final String id;
    final String ip;
    final int port;
    final String service;
    final String zone;
    final Fleet fleet;
    final Record record;
    final int workMs;
    final long born = System.currentTimeMillis();
    final AtomicLong sequence = new AtomicLong();
    volatile boolean isClosed;
    volatile String state = "ready";
    private final ServerSocket listener = new ServerSocket();

    /** Version of the software of this server. */
    final String software;
    private final int firstBeatMs;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Server(Fleet fleet, Record record, String id, int number, String service, int workMs) throws IOException {
        this(fleet, record, id, number, service, workMs, "v1", 0);
    }

    Server(Fleet fleet, Record record, String id, int number, String service, int workMs, String software,
        int firstBeatMs) throws IOException {
        this.software = software;
        this.firstBeatMs = firstBeatMs;
        this.fleet = fleet;
        this.record = record;
        this.id = id;
        this.service = service;
        this.workMs = workMs;
        ip = fleet.serverAddress(number);
        port = fleet.serverPort;
        zone = "zone-1";
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(ip, port), 200);
        daemon(this::acceptAll);
        daemon(this::beat);
    }

    static void daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    /** Fields of the heartbeat beside those of every server. */
    String extraFields() {
        return "";
    }

    private void beat() {
        int next = 0;
        sleep(firstBeatMs);
        while (!isClosed) {
            List<Fleet.Vm> controls = fleet.controls;
            for (int tries = 0; tries < controls.size(); tries++) {
                if (sendBeat(controls.get(next))) break;
                next = (next + 1) % controls.size();
            }
            sleep(1_200);
        }
    }

    boolean sendBeat(Fleet.Vm control) {
        String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"" + software + "\",\"slots\":64,\"state\":\"" + state + "\",\"cold_remaining_ms\":0" + extraFields()
            + ",\"born\":" + born + ",\"sequence\":" + sequence.incrementAndGet() + "}";
        Fleet.Answer answer = Fleet.call(control.ip, fleet.controlPort, "POST", "/instances/" + id + "/heartbeat",
            "Host: control\r\nContent-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8), 1_000);
        return answer != null && answer.status / 100 == 2;
    }

    private void acceptAll() {
        while (!isClosed) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            Request request;
            while ((request = Request.read(in)) != null) answer(request, socket.getOutputStream());
        } catch (IOException e) {
            return;
        }
    }

    /** Answers one request; the body has been read. */
    void answer(Request request, OutputStream out) throws IOException {
        String expected = request.header("X-Gentiandale-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Gentiandale-Instance-Id: " + id
                + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        record.note("server " + id + " runs " + request.header("X-Gentiandale-Request-Id") + " " + request.method + " "
            + request.target + " body " + request.body.length);
        sleep(workMs);
        byte[] body = ("answer to " + request.header("X-Gentiandale-Request-Id")).getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 200 OK\r\nX-Gentiandale-Request-Id: " + request.header("X-Gentiandale-Request-Id")
            + "\r\nX-Gentiandale-Response-Seal: s." + id + "\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    /** One HTTP request. */
    static final class Request {
        String method;
        String target;
        byte[] body = new byte[0];
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String header(String name) {
            return headers.get(name);
        }

        static Request read(InputStream in) throws IOException {
            String line = line(in);
            if (line == null) return null;
            Request request = new Request();
            String[] parts = line.split(" ");
            request.method = parts[0];
            request.target = parts[1];
            while (!(line = line(in)).isEmpty()) {
                int colon = line.indexOf(':');
                request.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            String length = request.header("Content-Length");
            if (length != null) request.body = in.readNBytes(Integer.parseInt(length));
            return request;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            int c;
            while ((c = in.read()) != '\n') {
                if (c < 0) return null;
                if (c != '\r') line.append((char) c);
            }
            return line.toString();
        }
    }
}
