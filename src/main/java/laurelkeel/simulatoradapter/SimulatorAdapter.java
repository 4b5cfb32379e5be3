package laurelkeel.simulatoradapter;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laurelkeel.api.Action;
import laurelkeel.api.Decider;
import laurelkeel.api.Event;
import laurelkeel.api.Event.EndpointEntry;
import laurelkeel.api.Settings;
import laurelkeel.options.InvalidOptionException;
import laurelkeel.options.OptionsParser;

/** Answers the simulator's batches: passes each front node's events to its decider and writes the resulting actions. */
public final class SimulatorAdapter {
    private static final int BUFFER_BYTES = 1 << 16;

    private final Decider.Factory deciders;
    private final Map<Integer, Decider> nodes = new HashMap<>();
    private final SimulatorEventReader eventReader = new SimulatorEventReader();

    /** One batch: the events by node, and the reasons of the deciders that have failed, by node. */
    private static final class Batch {
        final Map<Integer, List<Event>> eventsByNode = new LinkedHashMap<>();
        final Map<Integer, String> faults = new HashMap<>();
    }

    /**
     * Creates the adapter.
     *
     * @param deciders creates the decider of each front node
     */
    public SimulatorAdapter(Decider.Factory deciders) {
        this.deciders = deciders;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedSimulatorMessageException if the input violates the protocol
     */
    public void run(InputStream input, OutputStream output) throws IOException {
        MessageReader in = new MessageReader(
                new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), BUFFER_BYTES));
        Writer out = new BufferedWriter(new OutputStreamWriter(output, StandardCharsets.UTF_8), BUFFER_BYTES);
        SimulatorActionWriter actionWriter = new SimulatorActionWriter(out);
        for (MessageFields fields = in.next(); fields != null; fields = in.next()) {
            if (!fields.name().equals("round")) {
                throw fields.malformed("round", "a batch must begin with this message");
            }
            fields.expectValues(2);
            long nowTicks = fields.ticks("clock");
            long batchNumber = fields.longInteger("number");
            Batch batch = readBatch(in);
            decide(nowTicks, batch, actionWriter);
            actionWriter.writeAcknowledgement(batchNumber);
            out.flush();
        }
    }

    private Batch readBatch(MessageReader in) throws IOException {
        Batch batch = new Batch();
        for (MessageFields fields = in.nextInBatch(); !fields.name().equals("commit"); fields = in.nextInBatch()) {
            switch (fields.name()) {
                case "pool" -> readEndpointList(fields, in);
                case "create" -> createNode(fields, batch);
                case "detach" -> detachNode(fields, batch);
                default -> readEvent(fields, batch);
            }
        }
        return batch;
    }

    private void readEndpointList(MessageFields fields, MessageReader in) throws IOException {
        fields.expectValues(2);
        int slot = fields.integer("slot");
        int count = fields.integer("lines");
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            MessageFields item = in.nextInBatch();
            if (!item.name().equals("item")) {
                throw item.malformed("item", "the endpoint list has fewer lines than announced");
            }
            entries.add(SimulatorEventReader.readEntry(item));
        }
        eventReader.storeEndpointList(slot, entries);
    }

    private void createNode(MessageFields fields, Batch batch) {
        int node = fields.integer("front");
        long seed = fields.longInteger("rngSeed");
        Settings settings = settings(fields);
        batch.eventsByNode.put(node, new ArrayList<>());
        try {
            nodes.put(node, deciders.create(settings, seed));
        } catch (RuntimeException failure) {
            batch.faults.put(node, reportFailure(node, failure));
        }
    }

    private void detachNode(MessageFields fields, Batch batch) {
        fields.expectValues(1);
        int node = fields.integer("front");
        nodes.remove(node);
        batch.eventsByNode.remove(node);
    }

    private void readEvent(MessageFields fields, Batch batch) {
        int node = fields.integer("front");
        Event event = eventReader.read(fields);
        if (!nodes.containsKey(node) && !batch.faults.containsKey(node)) {
            throw fields.malformed("front", "front " + node + " was not created");
        }
        batch.eventsByNode.computeIfAbsent(node, k -> new ArrayList<>()).add(event);
    }

    private void decide(long nowTicks, Batch batch, SimulatorActionWriter actionWriter) throws IOException {
        for (Map.Entry<Integer, List<Event>> entry : batch.eventsByNode.entrySet()) {
            int node = entry.getKey();
            Decider decider = nodes.get(node);
            if (decider != null && !batch.faults.containsKey(node)) {
                try {
                    for (Action action : decider.decide(nowTicks, entry.getValue())) {
                        actionWriter.write(node, action);
                    }
                } catch (RuntimeException failure) {
                    batch.faults.put(node, reportFailure(node, failure));
                }
            }
            String fault = batch.faults.get(node);
            if (fault != null) {
                actionWriter.writeFault(node, fault);
            }
        }
    }

    private static Settings settings(MessageFields fields) {
        try {
            return OptionsParser.settings(fields.pairs("options"));
        } catch (InvalidOptionException e) {
            throw fields.malformed(e.path(), e.reason());
        }
    }

    /** Writes the stack trace to standard error, which is outside the protocol, and returns the failure as one line. */
    private static String reportFailure(int node, RuntimeException failure) {
        System.err.println("front " + node + ":");
        failure.printStackTrace();
        return failure.toString().replaceAll("\\s+", " ");
    }
}
