package laurelkeel.front;

import laurelkeel.api.Settings;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.upstream.ConnectionPools;
import laurelkeel.wire.MessageBuilder;

/**
 * The components that all parts of a front node share.
 *
 * @param messageBuilder for messages assembled on the event loop's thread; each is taken out before the next is begun
 */
record NodeComponents(
        Settings settings,
        NodeRuntime runtime,
        NodeServices services,
        Protocol protocol,
        Ingress ingress,
        ConnectionPools pools,
        MessageBuilder messageBuilder) {

    EventLoop loop() {
        return runtime.loop();
    }

    EventInbox inbox() {
        return runtime.inbox();
    }
}
