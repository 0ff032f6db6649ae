// Connections of the proxy.
#include "soak/loopback_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

tcp::endpoint to_tcp(const tamarack::endpoint& where) {
    return {asio::ip::make_address(where.address.to_string()), where.port};
}

} // namespace

struct loopback_proxy::impl : std::enable_shared_from_this<loopback_proxy::impl> {
    struct connection;

    impl(asio::io_context& io, const tamarack::endpoint& listen, const tamarack::endpoint& upstream)
        : context(io), acceptor(io, to_tcp(listen)), server(to_tcp(upstream)) {}

    void accept();

    asio::io_context&                      context;
    tcp::acceptor                          acceptor;
    tcp::endpoint                          server;
    proxy_faults                           faults;
    std::vector<std::weak_ptr<connection>> connections;
};

struct loopback_proxy::impl::connection : std::enable_shared_from_this<connection> {
    connection(std::shared_ptr<impl> owner, tcp::socket client)
        : proxy(std::move(owner)), near(std::move(client)), far(proxy->context) {}

    // One direction of the connection.
    struct pump {
        std::array<char, 16'384> bytes{};
        asio::steady_timer       wait;
        bool                     to_server;

        pump(asio::io_context& context, bool toward_server) : wait(context), to_server(toward_server) {}
    };

    void start() {
        far.async_connect(proxy->server, [self = shared_from_this()](const error_code& error) {
            if (error) return;
            self->read(self->up);
            self->read(self->down);
        });
    }

    void read(pump& side) {
        tcp::socket& from = side.to_server ? near : far;
        from.async_read_some(
            asio::buffer(side.bytes), [self = shared_from_this(), &side](const error_code& error, std::size_t size) {
                if (error) return self->close();
                const bool muted =
                    side.to_server ? self->proxy->faults.silent_to_server : self->proxy->faults.silent_to_client;
                if (self->silenced || muted) return self->read(side);
                side.wait.expires_after(self->proxy->faults.delay);
                side.wait.async_wait([self, &side, size](const error_code&) { self->write(side, size); });
            });
    }

    void write(pump& side, std::size_t size) {
        tcp::socket& to = side.to_server ? far : near;
        asio::async_write(to, asio::buffer(side.bytes, size),
                          [self = shared_from_this(), &side](const error_code& error, std::size_t) {
                              if (error) return self->close();
                              self->read(side);
                          });
    }

    void close() {
        error_code ignored; // it may be closed already
        near.close(ignored);
        far.close(ignored);
    }

    void reset() {
        error_code ignored; // it may be closed already
        near.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    std::shared_ptr<impl> proxy;
    tcp::socket           near;
    tcp::socket           far;
    pump                  up{proxy->context, true};
    pump                  down{proxy->context, false};
    bool                  silenced = false;
};

void loopback_proxy::impl::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket client) {
        if (error == asio::error::operation_aborted) return;
        if (!error && !self->faults.refuse) {
            const auto opened = std::make_shared<connection>(self, std::move(client));
            self->connections.push_back(opened);
            opened->start();
        }
        self->accept();
    });
}

loopback_proxy::loopback_proxy(asio::io_context& context, const tamarack::endpoint& listen,
                               const tamarack::endpoint& server)
    : impl_(std::make_shared<impl>(context, listen, server)) {
    impl_->accept();
}

loopback_proxy::~loopback_proxy() {
    impl_->acceptor.close();
    reset_connections();
}

proxy_faults& loopback_proxy::faults() {
    return impl_->faults;
}

void loopback_proxy::silence_connections() {
    for (const auto& each : impl_->connections) {
        if (const auto open = each.lock()) open->silenced = true;
    }
}

void loopback_proxy::reset_connections() {
    for (const auto& each : std::exchange(impl_->connections, {})) {
        if (const auto open = each.lock()) open->reset();
    }
}

} // namespace soak
