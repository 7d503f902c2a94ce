// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.streams.ReadStream;
import java.util.function.Consumer;
import ottergauge.protocol.Headers;

/** Collects a message's body up to the largest that the protocol allows. */
final class BodyReader {

    private final Buffer body = Buffer.buffer();
    private boolean tooLarge;

    private BodyReader() {
    }

    /**
     * Reads a stream to its end. What is over the limit is let go as it comes: answered before its end, a
     * sender that is still writing would see its connection break and not the answer.
     */
    static void read(ReadStream<Buffer> stream, Consumer<byte[]> whenRead, Runnable whenTooLarge) {
        BodyReader reader = new BodyReader();
        stream.handler(reader::take);
        stream.endHandler(end -> {
            if (reader.tooLarge) {
                whenTooLarge.run();
            } else {
                whenRead.accept(reader.body.getBytes());
            }
        });
    }

    private void take(Buffer part) {
        tooLarge |= body.length() + part.length() > Headers.MOST_BODY;
        if (!tooLarge) {
            body.appendBuffer(part);
        }
    }
}
