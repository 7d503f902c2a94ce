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

/** Reads the body of an answer up to a bound; a longer one fails. */
final class LimitedBodySubscriber implements BodySubscriber<byte[]> {

    private final BodySubscriber<byte[]> whole = BodySubscribers.ofByteArray();
    private final long most;
    private Subscription subscription;
    private long read;

    private LimitedBodySubscriber(long most) {
        this.most = most;
    }

    static BodyHandler<byte[]> ofAtMost(long bytes) {
        return head -> new LimitedBodySubscriber(bytes);
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return whole.getBody();
    }

    @Override
    public void onSubscribe(Subscription subscribed) {
        subscription = subscribed;
        whole.onSubscribe(subscribed);
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        read += parts.stream().mapToLong(ByteBuffer::remaining).sum();
        if (read > most) {
            subscription.cancel();
            whole.onError(new IOException("the answer is longer than " + most + " bytes"));
        } else {
            whole.onNext(parts);
        }
    }

    @Override
    public void onError(Throwable failure) {
        whole.onError(failure);
    }

    @Override
    public void onComplete() {
        whole.onComplete();
    }
}
