// Header fields of an HTTP message, held as one text.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

// A copy of a field.
struct HeaderField
{
  std::string name;
  std::string value;
};

// A field of HeaderFields; valid until these change.
struct FieldView
{
  FieldView() = default;
  FieldView(std::string_view aName, std::string_view aValue)
    : name(aName)
    , value(aValue)
  {
  }
  FieldView(const HeaderField& aField) // NOLINT(google-explicit-constructor)
    : FieldView(aField.name, aField.value)
  {
  } // NOLINTNEXTLINE(google-explicit-constructor)
  operator HeaderField() const { return { std::string(this->name), std::string(this->value) }; }

  std::string_view name;
  std::string_view value;
};

// The fields in their order. They take the bytes of their names and values and three more for each
// field, so that a message of many short fields takes no more memory than it had on the wire.
class HeaderFields
{
public:
  class const_iterator // NOLINT(readability-identifier-naming): as in the standard library
  {
  public:
    using iterator_category = std::input_iterator_tag;
    using value_type = FieldView;
    using difference_type = std::ptrdiff_t;
    using pointer = const FieldView*;
    using reference = const FieldView&;

    const_iterator() = default;
    explicit const_iterator(std::string_view aRest)
      : rest(aRest)
    {
      this->Read();
    }
    reference operator*() const { return this->field; }
    pointer operator->() const { return &this->field; }
    const_iterator& operator++()
    {
      this->rest.remove_prefix(this->length);
      this->Read();
      return *this;
    }
    friend bool operator==(const const_iterator& aLeft, const const_iterator& aRight)
    {
      return aLeft.rest.size() == aRight.rest.size();
    }

  private:
    void Read();

    std::string_view rest; // from this field to the last
    FieldView field;
    std::size_t length = 0; // of the field in the text
  };

  HeaderFields() = default;
  HeaderFields(std::initializer_list<FieldView> aFields);

  void push_back(const FieldView& aField); // NOLINT(readability-identifier-naming)
  const_iterator begin() const { return const_iterator(this->text); }
  const_iterator end() const { return {}; }
  bool empty() const { return this->text.empty(); }
  std::size_t size() const { return this->count; }
  // Memory held, in bytes.
  std::size_t Bytes() const { return this->text.capacity(); }
  void Reserve(std::size_t aBytes) { this->text.reserve(aBytes); }
  // Gives back memory that is not used.
  void Shrink();

private:
  std::string text; // of each field: lengths, name, value
  std::size_t count = 0;
};

// First field with this name, ignoring case.
std::optional<HeaderField> FindField(const HeaderFields& aFields, std::string_view aName);
// Compares header names, ignoring case.
bool FieldNamesEqual(std::string_view aLeft, std::string_view aRight);
// Appends the lines of the fields, each with its end.
void AppendHeaderLines(std::string& aOut, const HeaderFields& aFields);
void AppendHeaderLine(std::string& aOut, std::string_view aName, std::string_view aValue);

} // namespace caraway
