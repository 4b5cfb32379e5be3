package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.ClientConnection;
import laurelkeel.front.ingress.ClientRequest;
import laurelkeel.front.upstream.Exchange;

/** One req that this front has taken, until it is answered and all its upstream tries have ended. */
final class ActiveRequest {

    /** One upstream try. */
    static final class Attempt {
        final int no;
        final String machine;
        final long at;
        Exchange exchange;
        EventLoop.ScheduledTask limit;
        boolean over;

        Attempt(int no, String machine, long at) {
            this.no = no;
            this.machine = machine;
            this.at = at;
        }
    }

    final String id;
    /** Its number among this life's reqs, of which the id is made. */
    final long number;

    final ClientConnection conn;
    final ClientRequest asked;
    final long takenAt, leaves;
    final List<Attempt> sent = new ArrayList<>(2);
    boolean answered;
    EventLoop.ScheduledTask lastCall;

    ActiveRequest(String id, long number, ClientConnection conn, ClientRequest asked, long takenAt, long leaves) {
        this.id = id;
        this.number = number;
        this.conn = conn;
        this.asked = asked;
        this.takenAt = takenAt;
        this.leaves = leaves;
    }

    boolean done() {
        for (Attempt s : sent) {
            if (!s.over) {
                return false;
            }
        }
        return answered;
    }
}
