package laurelkeel.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "blame",
        mixinStandardHelpOptions = true,
        description = "Service dropped: which release? Asks a release line what its fronts' reports say.")
final class BlameCommand implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", description = "where the release line is")
    private String line;

    @Option(names = "--json", description = "the findings as data")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        String body;
        try {
            HttpResponse<String> r = HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + line + "/release/blame"))
                                    .timeout(Duration.ofSeconds(5))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            if (r.statusCode() != 200) {
                System.err.println("laurelkeel: " + line + " answers " + r.statusCode() + "; is it a release line?");
                return Cli.FAILED;
            }
            body = r.body();
        } catch (IOException e) {
            System.err.println("laurelkeel: " + line + " does not answer: " + e.getMessage());
            return Cli.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: '" + line + "' is no address; write as 127.0.0.1:9200");
            return Cli.BAD_INPUT;
        }
        if (json) {
            System.out.println(body);
            return 0;
        }
        JsonNode told = new ObjectMapper().readTree(body);
        System.out.printf(
                "%-7s %-14s %-12s %-10s %-24s %s%n",
                "build", "verdict", "probability", "by", "effect (95%)", "on trial for");
        for (JsonNode f : told.path("findings")) {
            System.out.printf(
                    Locale.ROOT,
                    "%-7d %-14s %-12.3f %-10s %-24s %d s%n",
                    f.path("build").asInt(),
                    word(f.path("verdict")),
                    f.path("probability").asDouble(),
                    word(f.path("kind")),
                    String.format(
                            Locale.ROOT,
                            "%.3f (%.3f to %.3f)",
                            f.path("effect").asDouble(),
                            f.path("low").asDouble(),
                            f.path("high").asDouble()),
                    f.path("afterSeconds").asLong());
        }
        for (JsonNode f : told.path("findings")) {
            System.out.println();
            System.out.println(f.path("evidence").asText() + (f.path("hold").asBoolean() ? " (held)" : ""));
            f.path("considered").forEach(c -> System.out.println("  considered: " + c.asText()));
        }
        System.out.printf(
                "%nreports left out: %d doubled, %d late; cells: %d unsound, %d beyond the bounds%n",
                told.path("reportsDoubled").asLong(),
                told.path("reportsLate").asLong(),
                told.path("cellsUnsound").asLong(),
                told.path("beyondBounds").asLong());
        return 0;
    }

    private static String word(JsonNode n) {
        return n.asText().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
