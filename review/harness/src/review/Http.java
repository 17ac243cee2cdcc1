package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages. Header names are kept in lower case. */
final class Http {
    private Http() { }

    /** One request or response with its whole body. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Status code of a response. */
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String path() {
            return startLine.split(" ")[1];
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message, or returns null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.startLine = line;
        while (true) {
            String header = line(in);
            if (header == null) throw new EOFException("connection ended inside the headers");
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        String coding = message.header("Transfer-Encoding");
        String length = message.header("Content-Length");
        if (coding != null && coding.equalsIgnoreCase("chunked")) {
            message.body = chunks(in);
        } else if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length != Integer.parseInt(length)) throw new EOFException("body is cut short");
        } else if (isResponse) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException("connection ended between chunks");
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length != length) throw new EOFException("chunk is cut short");
            body.write(chunk);
            String end = line(in);
            if (end == null) throw new EOFException("connection ended after a chunk");
            if (length == 0) return body.toByteArray();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("connection ended inside a line");
            }
            if (next == '\n') break;
            if (next != '\r') bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a message with [startLine], [headers] (name, value, …) and a body with a length. */
    static byte[] bytes(String startLine, byte[] body, String... headers) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            if (headers[i + 1] != null) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }
}
