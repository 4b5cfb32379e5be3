package laurelkeel.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command {@code blame}: prints what a rollout service has found out about the builds on trial. */
@Command(
        name = "blame",
        mixinStandardHelpOptions = true,
        description = "Service dropped: which release? Asks a rollout service what its fronts' reports say.")
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class BlameCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    @Parameters(paramLabel = "HOST:PORT", description = "where the rollout service is")
    private String service;

    @Option(names = "--json", description = "the findings as data")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HttpResponse<String> response;
        try {
            response = fetch();
        } catch (IOException e) {
            System.err.println("laurelkeel: " + service + " does not answer: " + e.getMessage());
            return Cli.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: '" + service + "' is no address; write as 127.0.0.1:9200");
            return Cli.BAD_INPUT;
        }
        if (response.statusCode() != HTTP_OK) {
            System.err.println(
                    "laurelkeel: " + service + " answers " + response.statusCode() + "; is it a release line?");
            return Cli.FAILED;
        }
        if (json) {
            System.out.println(response.body());
        } else {
            new AttributionPrinter(System.out).print(AttributionSummary.parse(response.body()));
        }
        return 0;
    }

    private HttpResponse<String> fetch() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + service + "/release/blame"))
                .timeout(TIMEOUT)
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }
}
