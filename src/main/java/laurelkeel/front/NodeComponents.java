package laurelkeel.front;

import laurelkeel.api.Settings;
import laurelkeel.eventloop.EventLoop;
import laurelkeel.front.ingress.Ingress;
import laurelkeel.front.upstream.ConnectionPools;
import laurelkeel.wire.MessageBuilder;

/**
 * What all parts of a front node share.
 *
 * @param messageBuilder for messages put together on the event loop's thread, each of which is taken out at once
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
