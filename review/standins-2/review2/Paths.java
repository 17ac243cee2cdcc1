package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Paths between one process and the others, through proxies. While they are cut, nothing passes and no connection ends,
 * as in a partition.
 */
final class Paths implements AutoCloseable {
    private volatile boolean isCut;
    private volatile boolean isClosed;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<ServerSocket> listeners = ConcurrentHashMap.newKeySet();

    /** Passes connections to the port from of the address ip on to its port to. */
    void open(String ip, int from, int to) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(ip, from), 100);
        listeners.add(listener);
        Server.daemon(() -> {
            while (!isClosed) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    if (!isCut) Server.daemon(() -> pass(socket, ip, to));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void pass(Socket socket, String ip, int to) {
        Socket target = new Socket();
        try {
            target.connect(new InetSocketAddress(ip, to), 1_000);
        } catch (IOException e) {
            end(socket, target);
            return;
        }
        sockets.add(target);
        Server.daemon(() -> copy(target, socket));
        copy(socket, target);
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            int length;
            while ((length = in.read(buffer)) > 0) {
                if (isCut) return;
                out.write(buffer, 0, length);
                out.flush();
            }
        } catch (IOException e) {
            if (isCut) return;
        }
        if (!isCut) end(from, to);
    }

    private void end(Socket one, Socket other) {
        for (Socket socket : new Socket[] {one, other}) {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                System.err.println(e);
            }
        }
    }

    void cut() {
        isCut = true;
    }

    /** Ends the cut. What was sent meanwhile is lost, and its connections end. */
    void heal() {
        isCut = false;
        for (Socket socket : sockets) end(socket, socket);
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        for (ServerSocket listener : listeners) listener.close();
        heal();
    }
}
