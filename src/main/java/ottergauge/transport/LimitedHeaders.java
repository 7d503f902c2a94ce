// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The fields of a head or a trailer section, up to a number. The limit on a head's bytes does not
 * bound its memory: a field of five bytes takes some 150 bytes once it is parsed.
 */
final class LimitedHeaders extends DefaultHttpHeaders {

    /** The most fields of a head or a trailer section. */
    static final int MAX_FIELDS = 100;

    private int fields;

    private LimitedHeaders(DefaultHttpHeadersFactory validation) {
        super(validation.getNameValidator(), validation.getValueValidator());
    }

    /** Returns a factory of such fields, which are validated as those of another factory. */
    static HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new LimitedHeaders(validation);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new LimitedHeaders(validation);
            }
        };
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        count();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count();
        return super.add(name, value);
    }

    private void count() {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }
}
