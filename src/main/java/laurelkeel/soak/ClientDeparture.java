package laurelkeel.soak;

import java.io.IOException;
import java.net.Socket;

/** How a client ends its connection. */
enum ClientDeparture {
    /** It closes the connection; the kernel sends FIN behind what is still unsent, or RST if the client has unread input. */
    CLOSE {
        @Override
        void leave(Socket socket) throws IOException {
            socket.close();
        }
    },
    /** It resets the connection; unsent output is discarded. */
    RESET {
        @Override
        void leave(Socket socket) throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    },
    /** It ends its output and still reads responses. */
    HALF_CLOSE {
        @Override
        void leave(Socket socket) throws IOException {
            socket.shutdownOutput();
        }
    };

    abstract void leave(Socket socket) throws IOException;
}
