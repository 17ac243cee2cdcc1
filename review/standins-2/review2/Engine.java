package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound model server: it reads prompts, or makes an event each 150 ms. It doesn't check versions. */
final class Engine extends Server {
    static final int EVENTS = 60;
    private static final int EVENT_MS = 150;
    private static final AtomicInteger handles = new AtomicInteger();
    private static final int SWITCH_MS = 6_000;
    private volatile String stage;
    private volatile boolean isBusy;
    private final AtomicInteger orders = new AtomicInteger();
    final AtomicInteger running = new AtomicInteger();

    Engine(Fleet fleet, Record record, String id, int number, String stage, String software, int firstBeatMs)
        throws IOException {
        super(fleet, record, id, number, "llm", 0, software, firstBeatMs);
        this.stage = stage;
    }

    @Override
    String extraFields() {
        return ",\"stage\":\"" + (stage != null ? stage : id.startsWith("i-p") ? "prefill" : "decode")
            + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }

    @Override
    void answer(Request request, OutputStream out) throws IOException {
        String requestId = request.header("X-Gentiandale-Request-Id");
        String expected = request.header("X-Gentiandale-Expect-Instance");
        boolean asksPrefill = "prefill".equals(request.header("X-Gentiandale-Serving-Stage"));
        if (request.target.equals("/report")) {
            write(out, "200 OK", "", "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}],\"busy\":" + isBusy + ",\"sequence\":" + orders + ",\"queued\":0,\"running\":" + running
                + ",\"kv_used\":0,\"kv_total\":75076,\"kv_handles\":0}");
        } else if (request.target.startsWith("/kv-handle/")) {
            write(out, "200 OK", "", "");
        } else if (request.target.equals("/order")) {
            order(new String(request.body, StandardCharsets.UTF_8), out);
        } else if (isBusy) {
            write(out, "503 Service Unavailable", "X-Gentiandale-Request-Id: " + requestId
                + "\r\nX-Gentiandale-Not-Executed: 1\r\n", "");
        } else if (expected != null && !expected.equals(id) || asksPrefill != stage.equals("prefill")) {
            write(out, "421 Misdirected Request", "X-Gentiandale-Instance-Id: " + id + "\r\n", "");
        } else if (asksPrefill) {
            sleep(60);
            write(out, "200 OK", "X-Gentiandale-Request-Id: " + requestId + "\r\n", "{\"kv_handle\":\"h"
                + handles.incrementAndGet() + "\",\"tokens\":5000,\"version\":1}");
        } else {
            stream(request, requestId, out);
        }
    }

    /** Carries an order out: running work ends, and the server is back in its new stage after SWITCH_MS. */
    private synchronized void order(String body, OutputStream out) throws IOException {
        String wanted = body.replaceAll(".*\"stage\":\"(prefill|decode)\".*", "$1");
        boolean isStale = body.contains("\"expect\":") && !body.matches(".*\"expect\":" + orders + "[,}].*");
        record.note("server " + id + " gets an order: " + body);
        if (isBusy || isStale) {
            write(out, "409 Conflict", "", "{}");
        } else if (!wanted.equals("prefill") && !wanted.equals("decode")) {
            write(out, "400 Bad Request", "", "{}");
        } else if (wanted.equals(stage)) {
            write(out, "200 OK", "", "{}");
        } else {
            isBusy = true;
            orders.incrementAndGet();
            daemon(() -> {
                while (running.get() > 0 && !isClosed) sleep(50);
                sleep(SWITCH_MS);
                stage = wanted;
                isBusy = false;
            });
            write(out, "202 Accepted", "", "{}");
        }
    }

    private void stream(Request request, String requestId, OutputStream out) throws IOException {
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        record.note("server " + id + " of version " + software + " runs " + requestId + " from event " + first);
        running.incrementAndGet();
        try {
            out.write(("HTTP/1.1 200 OK\r\nX-Gentiandale-Request-Id: " + requestId
                + "\r\nX-Gentiandale-Response-Seal: s." + id + "\r\nX-Gentiandale-Weight-Versions: 1\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = first; i <= EVENTS; i++) {
                byte[] event = ("id: " + i + "\ndata: " + software + " piece " + i + " of " + requestId + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(event);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                sleep(EVENT_MS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        } finally {
            running.decrementAndGet();
        }
    }

    private static void write(OutputStream out, String status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
