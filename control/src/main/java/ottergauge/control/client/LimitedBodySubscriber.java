// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow.Subscription;

/** Collects a response body; fails if it exceeds a limit. */
final class LimitedBodySubscriber implements BodySubscriber<byte[]> {

    private final BodySubscriber<byte[]> delegate = BodySubscribers.ofByteArray();
    private final long maxBytes;
    private Subscription subscription;
    private long receivedBytes;

    private LimitedBodySubscriber(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a handler that fails if a response body exceeds {@code maxBytes}. */
    static BodyHandler<byte[]> ofAtMost(long maxBytes) {
        return responseInfo -> new LimitedBodySubscriber(maxBytes);
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return delegate.getBody();
    }

    @Override
    public void onSubscribe(Subscription subscribed) {
        subscription = subscribed;
        delegate.onSubscribe(subscribed);
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        receivedBytes += parts.stream().mapToLong(ByteBuffer::remaining).sum();
        if (receivedBytes > maxBytes) {
            subscription.cancel();
            delegate.onError(new IOException("response body exceeds " + maxBytes + " bytes"));
        } else {
            delegate.onNext(parts);
        }
    }

    @Override
    public void onError(Throwable failure) {
        delegate.onError(failure);
    }

    @Override
    public void onComplete() {
        delegate.onComplete();
    }
}
