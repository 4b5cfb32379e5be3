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

/** The command {@code blame}: prints a rollout service's findings on the builds in rollout. */
@Command(
        name = "blame",
        mixinStandardHelpOptions = true,
        description =
                "Shows which build causes a regression: fetches the findings that a rollout service derives from its nodes' reports.")
@SuppressWarnings("NullAway.Init") // picocli sets the fields
final class BlameCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int HTTP_OK = 200;

    @Parameters(paramLabel = "HOST:PORT", description = "address of the rollout service")
    private String service;

    @Option(names = "--json", description = "print the findings as JSON")
    private boolean json;

    @Override
    public Integer call() throws Exception {
        HttpResponse<String> response;
        try {
            response = fetch();
        } catch (IOException e) {
            System.err.println("laurelkeel: fetching the findings from " + service + " failed: " + e.getMessage());
            return Cli.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.println("laurelkeel: '" + service
                    + "' is not a valid address; expected HOST:PORT, for example 127.0.0.1:9200");
            return Cli.BAD_INPUT;
        }
        if (response.statusCode() != HTTP_OK) {
            System.err.println("laurelkeel: " + service + " answered with status " + response.statusCode()
                    + "; is it a rollout service?");
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
