package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a client's connections: reuses idle ones, one request at a time on each. */
final class Caller {
    /** Idle connections are reused for less than four fifths of the idle limit of the configuration. */
    private static final long MAX_IDLE_MS = 10_000;

    /** How one request ended for the client; [status] is 0 if the connection ended without an answer. */
    record Answer(String requestId, int status, String retryAfter, String failure, boolean isOnKept) { }

    private record Idle(Socket socket, long sinceMs) { }

    private final Record record;
    private final String name;
    private final AtomicInteger numbers = new AtomicInteger();
    private final Map<InetSocketAddress, ArrayDeque<Idle>> idle = new HashMap<>();

    Caller(Record record, String name) {
        this.record = record;
        this.name = name;
    }

    /** Sends one request with a new id to [front]; [fresh] opens a new connection for it. */
    Answer send(InetSocketAddress front, boolean fresh, String method, String path, byte[] body, long deadlineMs) {
        String requestId = "%s-%05d".formatted(name, numbers.incrementAndGet());
        Socket socket = fresh ? null : takeIdle(front);
        boolean isOnKept = socket != null;
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(front, 1_000);
            }
            socket.setSoTimeout((int) deadlineMs + 500);
            record.line("client sends " + requestId + " " + method + " " + path + " to " + front.getHostString());
            socket.getOutputStream().write(Http.bytes(method + " " + path + " HTTP/1.1", body,
                "Host", Configurations.HOST, "X-Gentiandale-Request-Id", requestId,
                "X-Gentiandale-Deadline-Ms", Long.toString(deadlineMs)));
            Http.Message answer = Http.read(socket.getInputStream(), true);
            if (answer == null) throw new IOException("connection ended without an answer");
            record.line("client gets " + answer.status() + " for " + requestId);
            if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                socket.close();
            } else {
                giveBack(front, socket);
            }
            return new Answer(requestId, answer.status(), answer.header("Retry-After"), null, isOnKept);
        } catch (IOException e) {
            record.line("client gets no answer for " + requestId + ": " + e.getMessage());
            closeQuietly(socket);
            return new Answer(requestId, 0, null, String.valueOf(e.getMessage()), isOnKept);
        }
    }

    private synchronized Socket takeIdle(InetSocketAddress front) {
        ArrayDeque<Idle> waiting = idle.computeIfAbsent(front, key -> new ArrayDeque<>());
        while (!waiting.isEmpty()) {
            Idle last = waiting.removeLast();
            if (record.nowMs() - last.sinceMs < MAX_IDLE_MS && !hasEnded(last.socket)) return last.socket;
            closeQuietly(last.socket);
        }
        return null;
    }

    /** Returns whether the other side has closed the idle connection, as far as this side knows. */
    private static boolean hasEnded(Socket socket) {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    private synchronized void giveBack(InetSocketAddress front, Socket socket) {
        idle.computeIfAbsent(front, key -> new ArrayDeque<>()).addLast(new Idle(socket, record.nowMs()));
    }

    private static void closeQuietly(Socket socket) {
        try {
            if (socket != null) socket.close();
        } catch (IOException e) {
            // The connection is given up either way.
        }
    }
}
