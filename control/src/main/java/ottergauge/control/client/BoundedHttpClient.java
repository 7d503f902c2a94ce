// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import ottergauge.protocol.Address;

/** HTTP calls that end within a time, with answers of bounded length. */
public final class BoundedHttpClient {

    static final int TOO_LARGE = 413;
    static final int UNAVAILABLE = 503;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** An answer. */
    public record RawResponse(int status, byte[] body) {}

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /** Asks for a path with its query. */
    public RawResponse get(Address address, String path, Duration within, long maxBytes)
            throws IOException, InterruptedException {
        return call(request(address, path).GET().build(), within, maxBytes);
    }

    /** Sends a body. */
    public RawResponse post(
            Address address, String path, byte[] body, Duration within, long maxBytes)
            throws IOException, InterruptedException {
        HttpRequest request = request(address, path).POST(BodyPublishers.ofByteArray(body)).build();
        return call(request, within, maxBytes);
    }

    private static HttpRequest.Builder request(Address address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    private RawResponse call(HttpRequest request, Duration within, long maxBytes)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<byte[]>> answer =
                client.sendAsync(request, LimitedBodySubscriber.ofAtMost(maxBytes));
        try {
            HttpResponse<byte[]> response = answer.get(within.toMillis(), TimeUnit.MILLISECONDS);
            return new RawResponse(response.statusCode(), response.body());
        } catch (TimeoutException e) {
            answer.cancel(true);
            throw new IOException("no answer within " + within.toMillis() + " ms", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        }
    }
}
