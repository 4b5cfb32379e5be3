package laurelkeel.front;

import java.util.ArrayList;
import java.util.List;
import laurelkeel.front.ingress.Asked;
import laurelkeel.front.ingress.ClientConn;
import laurelkeel.front.upstream.Exchange;
import laurelkeel.loop.Loop;

/** One req that this front has taken, until it is answered and all its upstream tries have ended. */
final class Held {

    /** One upstream try. */
    static final class Sent {
        final int no;
        final String machine;
        final long at;
        Exchange exchange;
        Loop.Alarm limit;
        boolean over;

        Sent(int no, String machine, long at) {
            this.no = no;
            this.machine = machine;
            this.at = at;
        }
    }

    final String id;
    /** Its number among this life's reqs, of which the id is made. */
    final long number;

    final ClientConn conn;
    final Asked asked;
    final long takenAt, leaves;
    final List<Sent> sent = new ArrayList<>(2);
    boolean answered;
    Loop.Alarm lastCall;

    Held(String id, long number, ClientConn conn, Asked asked, long takenAt, long leaves) {
        this.id = id;
        this.number = number;
        this.conn = conn;
        this.asked = asked;
        this.takenAt = takenAt;
        this.leaves = leaves;
    }

    boolean done() {
        for (Sent s : sent) {
            if (!s.over) {
                return false;
            }
        }
        return answered;
    }
}
