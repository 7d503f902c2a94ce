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

/** A blocking HTTP client that limits the duration of each call and the size of its response. */
public final class BoundedHttpClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /**
     * Sends a GET request.
     *
     * @param path the path with its query
     * @param timeout the maximum time until the response is complete
     * @param maxBytes the maximum bytes of the response body
     * @throws IOException if there is no complete response within the bounds
     */
    public RawResponse get(Address address, String path, Duration timeout, long maxBytes)
            throws IOException, InterruptedException {
        return send(request(address, path).GET().build(), timeout, maxBytes);
    }

    /**
     * Sends a POST request with the same limits as {@link #get}.
     *
     * @throws IOException if there is no complete response within the bounds
     */
    public RawResponse post(
            Address address, String path, byte[] body, Duration timeout, long maxBytes)
            throws IOException, InterruptedException {
        HttpRequest request = request(address, path).POST(BodyPublishers.ofByteArray(body)).build();
        return send(request, timeout, maxBytes);
    }

    private static HttpRequest.Builder request(Address address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    private RawResponse send(HttpRequest request, Duration timeout, long maxBytes)
            throws IOException, InterruptedException {
        CompletableFuture<HttpResponse<byte[]>> pending =
                client.sendAsync(request, LimitedBodySubscriber.ofAtMost(maxBytes));
        try {
            HttpResponse<byte[]> response = pending.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            return new RawResponse(response.statusCode(), response.body());
        } catch (TimeoutException e) {
            pending.cancel(true);
            throw new IOException("no response within " + timeout.toMillis() + " ms", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().toString(), e.getCause());
        }
    }
}
